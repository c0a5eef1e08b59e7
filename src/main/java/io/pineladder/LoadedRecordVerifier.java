package io.pineladder;

import io.pineladder.replica.RecordKind;
import io.pineladder.replica.RecordReplica;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.Json;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares the records that a new term reads with this controller's replica: reports missing
 * records as data loss, and replaces unreadable ones. A value that neither can read leads to one
 * rebuild at most, since another controller may have it: if the records were just rebuilt, the term
 * goes on without it, under the same restrictions as after that rebuild.
 */
final class LoadedRecordVerifier {
  private static final Logger log = LoggerFactory.getLogger(LoadedRecordVerifier.class);

  /** Within this time after an inexact rebuild, no job counts as unknown and no task is started. */
  private static final Duration RESTRICTED_AFTER_REBUILD = Duration.ofMinutes(2);

  private final RecordReplica replica;
  private final RecordLossReporter recordLoss;
  private final int maxValueBytes;

  /** Unreadable entries that were replaced or left out. */
  private final List<StoreWire.Entry> replacedEntries = new ArrayList<>();

  LoadedRecordVerifier(RecordReplica replica, RecordLossReporter recordLoss, int maxValueBytes) {
    this.replica = replica;
    this.recordLoss = recordLoss;
    this.maxValueBytes = maxValueBytes;
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
    List<StoreWire.Entry> entries = new ArrayList<>(result.entries());
    for (RecordReplica.DamagedRecord damaged : result.damaged()) {
      if (damaged.repaired()) {
        log.warn(
            "Unreadable record repaired from replica: key={} revision={} bytes={} reason=\"{}\"",
            damaged.entry().key(),
            damaged.entry().revision(),
            damaged.entry().json().length,
            damaged.reason());
        replacedEntries.add(damaged.entry());
      } else if (requiresRebuild(damaged)) {
        recordLoss.onUnreadable(damaged.entry().key(), damaged.reason());
        return null;
      } else {
        loadWithout(damaged, entries);
      }
    }
    entries.sort(Comparator.comparing(StoreWire.Entry::key));
    return new StoreClient.Listing(entries, listing.revision());
  }

  private boolean requiresRebuild(RecordReplica.DamagedRecord damaged) {
    RecordKind kind = RecordKind.of(damaged.entry().key());
    return kind.isValidKey(damaged.entry().key())
        && kind.ifUnreadable() == RecordKind.IfUnreadable.REBUILD
        && !recordLoss.isRebuildIncompleteWithin(RESTRICTED_AFTER_REBUILD);
  }

  /** Goes on with an older or empty value in place of an unreadable one, or without any. */
  private void loadWithout(
      RecordReplica.DamagedRecord damaged, List<StoreWire.Entry> loadedEntries) {
    StoreWire.Entry entry = damaged.entry();
    RecordKind kind = RecordKind.of(entry.key());
    log.error(
        "Unreadable record left out: key={} revision={} bytes={} reason=\"{}\"",
        entry.key(),
        entry.revision(),
        entry.json().length,
        damaged.reason());
    if (!kind.isValidKey(entry.key())) {
      return;
    }
    if (kind.ifUnreadable() == RecordKind.IfUnreadable.LEAVE) {
      loadedEntries.add(entry);
      return;
    }
    StoreWire.Entry replacement = replica.replaceUnreadable(entry);
    if (replacement != null) {
      loadedEntries.add(replacement);
    }
    replacedEntries.add(entry);
  }

  /** Rewrites replaced records, and keeps their unreadable values under other keys for analysis. */
  void rewriteReplaced(Committer committer, Records records) {
    for (StoreWire.Entry entry : replacedEntries) {
      if (entry.json().length <= maxValueBytes) {
        committer.submit(
            Mutation.of(
                Mutation.Priority.CLEANUP,
                List.of(
                    new Mutation.Write(
                        RecordKeys.UNREADABLE + entry.key(), () -> Json.decode(entry.json()))),
                () -> {}));
      }
      records.rewritePage(entry.key());
    }
  }
}
