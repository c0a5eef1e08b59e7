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
 * Divides pages of jobs that an earlier leader left larger than a value may be now. Such a page
 * cannot be stored with fewer jobs as long as the rest is still too large.
 *
 * <p>Its jobs are copied to other pages in bounded steps, and the last step deletes it. Until then
 * the page counts and the copies, which name it, do not; so each step is safe when it is the last,
 * and what changes the page waits.
 */
final class JobPageDivider {
  /** Where a record of a page that is being divided goes, and the bytes reserved for it there. */
  private record CopyTarget(JobPage page, int recordBytes) {}

  private final JobPages pages;

  /** Pages that hold copies which do not count, by the key of the page that was to be divided. */
  private final Map<String, List<JobPage>> copiesByDividedPage = new HashMap<>();

  JobPageDivider(JobPages pages) {
    this.pages = pages;
  }

  /**
   * Takes over a page with a copy of a record, read at the start of a term. The copy does not
   * count, since the page that it names exists.
   */
  void restoreCopy(String key, String source) {
    copiesByDividedPage.computeIfAbsent(source, s -> new ArrayList<>(2)).add(pages.restore(key));
    pages.reserveNumber(source);
  }

  /** From here on a page that is too large is not stored again, but divided. */
  void markOversizedPages() {
    pages.pages().forEach(page -> page.markTooLarge(pages.capacity()));
  }

  /**
   * A page that has to be divided and can be, or null: one that is too large, holds no
   * notification, now or once the transaction in flight is stored, and no record that takes more
   * than a value by itself.
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
   * Divides a page: from here on nothing else may change it.
   *
   * @param maxEditsPerMutation jobs copied by one mutation at most
   * @param commit takes the mutations, which have to be carried out in their order
   * @param onDivided called when the page is deleted; mutations that waited may go on
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

  /** The edits that copy the page's records, by page; fills in where each job's copy goes. */
  private Map<JobPage, List<JobPageEdit>> planCopies(JobPage page, Map<Job, CopyTarget> targets) {
    Map<JobPage, List<JobPageEdit>> copies = new LinkedHashMap<>();
    // Copies of it that an earlier leader made would count as soon as it is deleted.
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

  /** The page is deleted: the copies of its records count from here on. */
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
            // The job had ended before the first copy was made.
            target.page.release(target.recordBytes);
          }
        });
  }
}
