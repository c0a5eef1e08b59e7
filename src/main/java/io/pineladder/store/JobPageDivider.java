package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.wire.RecordWire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Divides job pages that exceed the value limit because an earlier leader wrote them under a higher
 * one. Removing a few jobs does not help: the page cannot be stored until the rest fits.
 *
 * <p>The page's records are copied to other pages in bounded steps, and the last step deletes the
 * page. Each copy names the page that it was copied from and is ignored while that page exists, so
 * the division may stop after any step. Mutations that change the page are deferred meanwhile.
 */
final class JobPageDivider {
  /** The page that a record is copied to, and the bytes reserved for it there. */
  private record CopyTarget(JobPage page, int recordBytes) {}

  private final JobPages pages;

  /** Pages with ignored copies, by the key of the page that the copies were made from. */
  private final Map<String, List<JobPage>> copiesByDividedPage = new HashMap<>();

  JobPageDivider(JobPages pages) {
    this.pages = pages;
  }

  /**
   * Registers a page with an ignored copy, read at the start of a term.
   *
   * @param key the page that contains the copy
   * @param source the page that the copy was made from, which still exists
   */
  void restoreCopy(String key, String source) {
    copiesByDividedPage.computeIfAbsent(source, s -> new ArrayList<>(2)).add(pages.restore(key));
    pages.reserveNumber(source);
  }

  /** Marks all pages that exceed the capacity; they are divided instead of stored again. */
  void markOversizedPages() {
    pages.pages().forEach(page -> page.markIfOversized(pages.capacity()));
  }

  /**
   * Returns an oversized page that can be divided, or null. A page cannot be divided while it
   * contains a notification or one is in flight for it, or if a single record exceeds the capacity.
   */
  JobPage nextOversizedPage() {
    for (JobPage page : pages.pages()) {
      if (page.isOversized(pages.capacity()) && isDivisible(page)) {
        return page;
      }
    }
    return null;
  }

  private boolean isDivisible(JobPage page) {
    return !page.hasNotifications()
        && !page.isDividing()
        && pages.pendingNotificationsIn(page).stream().noneMatch(JobPageEdit::isInFlight)
        && page.jobs().stream().allMatch(job -> pages.recordBytes(job) <= pages.capacity());
  }

  /**
   * Divides a page. No other mutation may change it from here on.
   *
   * @param maxEditsPerMutation maximum number of records that one mutation copies
   * @param commit accepts the mutations, which must be committed in order
   * @param onDivided called when the page is deleted, after which deferred mutations may proceed
   */
  void divide(
      JobPage page, int maxEditsPerMutation, Consumer<Mutation> commit, Runnable onDivided) {
    page.beginDivision();
    pages.pendingNotificationsIn(page).forEach(JobPageEdit::relocateNotification);
    Map<Job, CopyTarget> targets = new LinkedHashMap<>();
    for (List<JobPageEdit> edits : planCopies(page, targets).values()) {
      for (int from = 0; from < edits.size(); from += maxEditsPerMutation) {
        int to = Math.min(edits.size(), from + maxEditsPerMutation);
        commit.accept(
            Mutation.withPageEdits(
                Mutation.Priority.FINAL_STATE,
                List.of(),
                List.copyOf(edits.subList(from, to)),
                List.of(),
                () -> {},
                null));
      }
    }
    commit.accept(
        Mutation.of(
            Mutation.Priority.FINAL_STATE,
            List.of(new Mutation.Write(page.key, () -> null)),
            () -> {
              onPageDeleted(page, targets);
              onDivided.run();
            }));
  }

  /** Returns the edits that copy the page's records, by target page; fills in the targets. */
  private Map<JobPage, List<JobPageEdit>> planCopies(JobPage page, Map<Job, CopyTarget> targets) {
    Map<JobPage, List<JobPageEdit>> copies = new LinkedHashMap<>();
    // Copies made by an earlier leader would become effective when the page is deleted.
    for (JobPage stale : copiesByDividedPage.getOrDefault(page.key, List.of())) {
      copies.computeIfAbsent(stale, s -> new ArrayList<>()).add(JobPageEdit.rewrite(pages, stale));
    }
    for (Job job : page.jobs()) {
      int bytes = pages.recordBytes(job);
      JobPage target = pages.pageWithCapacity(bytes);
      target.reserve(bytes);
      targets.put(job, new CopyTarget(target, bytes));
      copies
          .computeIfAbsent(target, t -> new ArrayList<>())
          .add(JobPageEdit.copy(pages, page, target, job));
    }
    return copies;
  }

  /**
   * Replaces the record of each job of the deleted page by its copy: removes the mark that named
   * the deleted page, and assigns the job to the page that contains the copy.
   */
  private void onPageDeleted(JobPage page, Map<Job, CopyTarget> targets) {
    copiesByDividedPage.remove(page.key);
    pages.removePage(page);
    targets.forEach(
        (job, target) -> {
          String id = job.spec.id();
          JsonNode copy = target.page.record(id);
          if (pages.pageOf(job) == page && copy != null) {
            target.page.putRecord(id, RecordWire.withoutCopySource(copy));
            pages.moveTo(target.page, job);
          } else {
            // The job's record was removed before it could be copied.
            target.page.release(target.recordBytes);
          }
        });
  }
}
