package io.pineladder;

import io.pineladder.replica.RecordReplica;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the records that a new term reads with this controller's replica: reports what is
 * missing, and replaces what cannot be read by the replica's copy.
 */
final class LoadedRecordVerifier {
  private static final Logger log = LoggerFactory.getLogger(LoadedRecordVerifier.class);

  private final RecordReplica replica;
  private final RecordLossReporter recordLoss;

  /** Unreadable entries whose records the replica has. */
  private final List<StoreWire.Entry> repairedEntries = new ArrayList<>();

  LoadedRecordVerifier(RecordReplica replica, RecordLossReporter recordLoss) {
    this.replica = replica;
    this.recordLoss = recordLoss;
  }

  /**
   * Verifies all records with a prefix.
   *
   * @return the listing to go on with; null when records are lost, which is reported, and the term
   *     cannot go on
   */
  StoreClient.Listing verify(String prefix, StoreClient.Listing listing) {
    String missing = replica.firstMissingKey(prefix, listing.entries());
    if (missing != null) {
      recordLoss.onRecordMissing(missing + " is missing or older than it was seen");
      return null;
    }
    RecordReplica.ListingResult reading = replica.applyListing(prefix, listing.entries());
    for (RecordReplica.DamagedRecord damaged : reading.damaged()) {
      if (!damaged.repaired()) {
        recordLoss.onUnreadable(damaged.entry().key());
        return null;
      }
      log.warn("Unreadable record repaired from replica: key={}", damaged.entry().key());
      repairedEntries.add(damaged.entry());
    }
    return new StoreClient.Listing(reading.entries(), listing.revision());
  }

  /** Stores repaired records again, and their unreadable values under another key for analysis. */
  void rewriteRepaired(Committer committer, Records records) {
    for (StoreWire.Entry entry : repairedEntries) {
      committer.submit(
          Mutation.of(
              Mutation.Priority.CLEANUP,
              List.of(new Mutation.Write(RecordKeys.UNREADABLE + entry.key(), entry::value)),
              () -> {}));
      records.rewritePage(entry.key());
    }
  }
}
