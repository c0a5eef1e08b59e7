package io.pineladder;

import io.pineladder.replica.RecordReplica;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the records that a new term reads with this controller's replica: reports missing
 * records as data loss, and replaces unreadable ones with the replica's copies.
 */
final class LoadedRecordVerifier {
  private static final Logger log = LoggerFactory.getLogger(LoadedRecordVerifier.class);

  private final RecordReplica replica;
  private final RecordLossReporter recordLoss;

  /** Unreadable entries that were replaced with the replica's copies. */
  private final List<StoreWire.Entry> repairedEntries = new ArrayList<>();

  LoadedRecordVerifier(RecordReplica replica, RecordLossReporter recordLoss) {
    this.replica = replica;
    this.recordLoss = recordLoss;
  }

  /**
   * Verifies all records with a key prefix.
   *
   * @return the listing with unreadable records replaced; null if records were lost, which is
   *     reported and means that the term must end
   */
  StoreClient.Listing verify(String prefix, StoreClient.Listing listing) {
    String missing = replica.firstMissingKey(prefix, listing.entries());
    if (missing != null) {
      recordLoss.onRecordMissing(missing + " is missing or older than in the replica");
      return null;
    }
    RecordReplica.ListingResult result = replica.applyListing(prefix, listing.entries());
    for (RecordReplica.DamagedRecord damaged : result.damaged()) {
      if (!damaged.repaired()) {
        recordLoss.onUnreadable(damaged.entry().key());
        return null;
      }
      log.warn("Unreadable record repaired from replica: key={}", damaged.entry().key());
      repairedEntries.add(damaged.entry());
    }
    return new StoreClient.Listing(result.entries(), listing.revision());
  }

  /** Rewrites repaired records, and keeps their unreadable values under other keys for analysis. */
  void rewriteRepaired(Committer committer, Records records) {
    for (StoreWire.Entry entry : repairedEntries) {
      committer.submit(
          Mutation.of(
              Mutation.Priority.CLEANUP,
              List.of(
                  new Mutation.Write(
                      RecordKeys.UNREADABLE + entry.key(), () -> Json.decode(entry.json()))),
              () -> {}));
      records.rewritePage(entry.key());
    }
  }
}
