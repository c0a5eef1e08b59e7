package io.pineladder.delivery;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.DeliveryProgress;
import io.pineladder.model.Job;
import io.pineladder.model.Notification;
import io.pineladder.model.Subscription;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation;
import io.pineladder.store.NotificationLog;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.RecordWire;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The log of stored notifications that some subscriber has not confirmed yet, and the delivery
 * progress of each subscriber, for one term of leadership.
 *
 * <p>Notifications are numbered without a gap in commit order. A subscriber's own sequence counts
 * those that match its filters. It is derived from the log, so every leader derives the same
 * sequence, and only the last confirmed position of each subscriber is stored. A notification that
 * all subscribers have confirmed leaves the log only after their progress is stored: a later leader
 * counts on from the stored positions.
 *
 * <p>A notification is first stored in its job's page. When many are pending, the oldest move to
 * backlog pages: job pages full of notifications have no space for jobs, and a new leader would
 * have to read all of them before it can lead. It needs only the newest notification, to continue
 * the numbering, and reads the backlog once it leads.
 */
public final class NotificationOutbox implements NotificationLog {
  private static final Logger log = LoggerFactory.getLogger(NotificationOutbox.class);

  /** Retention limit: older notifications are lost to subscribers that have not confirmed them. */
  public static final int MAX_RETAINED = 100_000;

  /**
   * When the retention limit is exceeded, the limit divided by this value is discarded in addition,
   * so that not every further notification causes a discard.
   */
  private static final int DISCARD_DIVISOR = 64;

  /**
   * A progress page is written once its subscribers have advanced by this many notifications on
   * average, multiplied by the number of progress pages. Averaged, since subscribers that advance
   * in turn would otherwise trigger a write each.
   */
  private static final int PROGRESS_WRITE_INTERVAL = 50;

  private static final Comparator<Entry> BY_NUMBER =
      Comparator.comparingLong(entry -> entry.notification.number());

  /** Size of a backlog page without its notifications. */
  private static final int PAGE_OVERHEAD_BYTES = 64;

  /** Upper bound of the JSON of one subscriber's progress. */
  private static final int MAX_PROGRESS_BYTES = 180;

  /**
   * Bound on the total size of the notifications in job pages, as a fraction of the size limit of a
   * stored value. With more, the page for new jobs would fill up, and jobs that end together would
   * be spread over several pages.
   */
  private static final double MAX_JOB_PAGE_FRACTION = 0.5;

  /** Number of the newest notifications, which always stay in their job pages. */
  private static final int MIN_NOTIFICATIONS_IN_JOB_PAGES = 8;

  private static final class Entry {
    final Notification notification;

    /** Size in its job's page. */
    final int storedBytes;

    /** Removes the notification from its job's page; null if it is not, or no longer, there. */
    private Runnable removeFromPage;

    Entry(Notification notification, int storedBytes, Runnable removeFromPage) {
      this.notification = notification;
      this.storedBytes = storedBytes;
      this.removeFromPage = removeFromPage;
    }
  }

  /** The delivery progress of a subscriber. */
  public static final class Cursor {
    private long lastNumber;
    private long lastSequence;
    private long firstLostSequence;

    /** Progress as the store holds it. */
    private DeliveryProgress storedProgress;

    /** The {@link #lastNumber} when it was last added to {@link ProgressPage#unstoredAdvance}. */
    private long countedNumber;

    private ProgressPage page;

    private Cursor(DeliveryProgress progress) {
      moveTo(progress);
      storedProgress = progress;
      countedNumber = progress.lastNumber();
    }

    private void moveTo(DeliveryProgress progress) {
      lastNumber = progress.lastNumber();
      lastSequence = progress.lastSequence();
      firstLostSequence = progress.firstLostSequence();
    }

    public DeliveryProgress progress() {
      return new DeliveryProgress(lastNumber, lastSequence, firstLostSequence);
    }
  }

  /** A stored value with the progress of several subscribers. */
  private static final class ProgressPage {
    final String key;
    final Map<String, Cursor> cursors = new LinkedHashMap<>();

    private boolean writePending;

    /** The page is to be written again after the pending write. */
    private boolean rewriteRequested;

    /** Sum of the notifications that its subscribers have advanced by since the last write. */
    private long unstoredAdvance;

    ProgressPage(String key) {
      this.key = key;
    }
  }

  /** How much of the log has been read from the store. */
  private enum State {
    LOADING_JOB_PAGES,
    /** The newest notifications are known, so new ones can be added; older ones are being read. */
    LOADING_BACKLOG,
    LOADED
  }

  private final int maxRetained;
  private final int maxValueBytes;
  private final int cursorsPerPage;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final Runnable wakeDelivery;

  /** The log, without gaps. The first {@code head} entries are dropped but not removed yet. */
  private final List<Entry> entries = new ArrayList<>();

  private int head;
  private long committedNumber;
  private long allocatedNumber;
  private State state = State.LOADING_JOB_PAGES;

  /** Backlog pages by index, with the highest number in each. */
  private final TreeMap<Long, Long> backlogPages = new TreeMap<>();

  /** Notifications up to this number have moved out of the job pages. */
  private long lastBacklogNumber;

  private boolean backlogWritePending;

  /** Total size of the notifications in job pages. */
  private long jobPageBytes;

  private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();

  /** Subscriptions whose creation or new filters are not stored yet; they match from now on. */
  private final Map<String, Subscription> pendingSubscriptions = new HashMap<>();

  private final Map<String, Cursor> cursors = new HashMap<>();

  private final List<ProgressPage> progressPages = new ArrayList<>();

  /** Notifications of the transaction whose commit is being processed. */
  private final List<Entry> transactionEntries = new ArrayList<>();

  /**
   * Creates an empty outbox.
   *
   * @param maxRetained how many notifications are retained
   * @param maxValueBytes the size limit of a stored value
   * @param commit sends a mutation to the store
   * @param wakeDelivery called when there may be notifications to send
   */
  public NotificationOutbox(
      int maxRetained,
      int maxValueBytes,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      Runnable wakeDelivery) {
    this.maxRetained = maxRetained;
    this.maxValueBytes = maxValueBytes;
    this.cursorsPerPage = Math.max(1, maxValueBytes / MAX_PROGRESS_BYTES);
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.wakeDelivery = wakeDelivery;
  }

  // ---- start of a term

  /** Adds a subscription that was read at the start of the term. */
  public void onSubscriptionLoaded(Subscription subscription) {
    subscriptions.put(subscription.name(), subscription);
  }

  /** All job pages and thus the newest notifications were read: new ones may be added. */
  public void onJobPagesLoaded() {
    state = State.LOADING_BACKLOG;
    entries.sort(BY_NUMBER);
    committedNumber = entries.isEmpty() ? 0 : numberAt(entries.size() - 1);
    for (Subscription subscription : subscriptions.values()) {
      committedNumber = Math.max(committedNumber, subscription.createdAfterNumber());
    }
    allocatedNumber = committedNumber;
  }

  /**
   * The backlog and the delivery progress were read: subscribers can be served.
   *
   * @param backlog the notifications of each backlog page, by key
   * @param progress the progress by event source of each progress page, by key
   */
  public void onBacklogLoaded(
      Map<String, List<Notification>> backlog,
      Map<String, Map<String, DeliveryProgress>> progress) {
    // A notification is in a job page and in the backlog if the job page has not been written since
    // the notification was moved.
    Map<Long, Entry> inJobPages = new HashMap<>();
    entries.forEach(entry -> inJobPages.put(entry.notification.number(), entry));
    backlog.forEach(
        (key, notifications) -> {
          long last = 0;
          for (Notification notification : notifications) {
            last = Math.max(last, notification.number());
            Entry duplicate = inJobPages.get(notification.number());
            if (duplicate == null) {
              entries.add(new Entry(notification, 0, null));
            } else {
              removeFromJobPage(duplicate);
            }
          }
          backlogPages.put(
              Long.parseLong(key.substring(RecordKeys.NOTIFICATION_BACKLOG.length())), last);
          lastBacklogNumber = Math.max(lastBacklogNumber, last);
        });
    entries.sort(BY_NUMBER);
    Set<String> sources = new HashSet<>();
    subscriptions.values().forEach(subscription -> sources.add(subscription.source()));
    progress.forEach(
        (key, page) -> {
          ProgressPage progressPage =
              progressPage(Integer.parseInt(key.substring(RecordKeys.DELIVERY_PROGRESS.length())));
          page.forEach(
              (source, position) -> {
                if (sources.contains(source)) {
                  cursors.put(source, createCursor(progressPage, source, position));
                }
              });
        });
    subscriptions.values().forEach(this::ensureCursor);
    state = State.LOADED;
    trim();
    markMissingAsLost();
    moveToBacklog();
  }

  /** Whether everything was read, so that subscribers can be served and administered. */
  public boolean isLoaded() {
    return state == State.LOADED;
  }

  /**
   * Treats gaps in the stored log as lost notifications. Only notifications that the store knows to
   * be unneeded are dropped, so a gap indicates missing records.
   */
  private void markMissingAsLost() {
    int start = entries.size() - 1;
    while (start > head && numberAt(start - 1) + 1 == numberAt(start)) {
      start--;
    }
    if (start > head) {
      log.error(
          "Gap in notification log, earlier notifications are lost: firstRetained={}",
          numberAt(start));
      head = start;
    }
    for (Subscription subscription : subscriptions.values()) {
      Cursor cursor = cursor(subscription);
      long missing = firstNumber() - 1 - cursor.lastNumber;
      if (subscription.retainsNotifications() && missing > 0) {
        log.error("Notifications missing: subscription={} count={}", subscription.name(), missing);
        cursor.firstLostSequence =
            cursor.firstLostSequence == 0 ? cursor.lastSequence + 1 : cursor.firstLostSequence;
        cursor.lastSequence += missing;
        cursor.lastNumber += missing;
      }
    }
  }

  private long numberAt(int index) {
    return entries.get(index).notification.number();
  }

  private Cursor ensureCursor(Subscription subscription) {
    return cursors.computeIfAbsent(
        subscription.source(),
        source -> {
          int index = 0;
          while (index < progressPages.size()
              && progressPages.get(index).cursors.size() >= cursorsPerPage) {
            index++;
          }
          return createCursor(
              progressPage(index),
              source,
              new DeliveryProgress(subscription.createdAfterNumber(), 0, 0));
        });
  }

  private static Cursor createCursor(ProgressPage page, String source, DeliveryProgress progress) {
    Cursor cursor = new Cursor(progress);
    cursor.page = page;
    page.cursors.put(source, cursor);
    return cursor;
  }

  private ProgressPage progressPage(int index) {
    while (progressPages.size() <= index) {
      progressPages.add(new ProgressPage(RecordKeys.DELIVERY_PROGRESS + progressPages.size()));
    }
    return progressPages.get(index);
  }

  // ---- subscriptions

  public Map<String, Subscription> subscriptions() {
    return subscriptions;
  }

  /** Allocates notifications for a subscription whose record is about to be stored. */
  public void expectSubscription(Subscription subscription) {
    pendingSubscriptions.put(subscription.name(), subscription);
  }

  /** The number of the last notification that is stored or in the transaction being assembled. */
  public long lastNumber() {
    return allocatedNumber;
  }

  /** The record of a new or changed subscription is stored. */
  public void onSubscriptionStored(Subscription subscription) {
    pendingSubscriptions.remove(subscription.name());
    subscriptions.put(subscription.name(), subscription);
    ensureCursor(subscription);
    trim();
    wakeDelivery.run();
  }

  /** The filters of a subscription, without those that apply to no retained notification. */
  public List<Subscription.Filter> neededFilters(Subscription subscription) {
    List<Subscription.Filter> filters = subscription.filters();
    int start = 0;
    while (start + 1 < filters.size() && filters.get(start + 1).afterNumber() < firstNumber()) {
      start++;
    }
    return filters.subList(start, filters.size());
  }

  /** The record of a subscription was deleted. */
  public void onSubscriptionDeleted(String name) {
    pendingSubscriptions.remove(name);
    Subscription before = subscriptions.remove(name);
    if (before != null) {
      cursors.remove(before.source()).page.cursors.remove(before.source());
      trim();
    }
  }

  public Cursor cursor(Subscription subscription) {
    return cursors.get(subscription.source());
  }

  // ---- notifications

  @Override
  public boolean hasSubscribers() {
    return !subscriptions.isEmpty() || !pendingSubscriptions.isEmpty();
  }

  @Override
  public void beginTransaction() {
    allocatedNumber = committedNumber;
  }

  @Override
  public Notification allocate(Job job) {
    String team = job.spec.team();
    String jobClass = job.spec.jobClass();
    boolean wanted =
        subscriptions.values().stream().anyMatch(s -> s.mayMatch(team, jobClass))
            || pendingSubscriptions.values().stream().anyMatch(s -> s.mayMatch(team, jobClass));
    return wanted
        ? new Notification(
            ++allocatedNumber,
            job.spec.id(),
            team,
            jobClass,
            job.state(),
            job.spec.tasks(),
            // At the stored precision, so that a later leader sends an identical event.
            eventLoop.wallClock().truncatedTo(ChronoUnit.MILLIS))
        : null;
  }

  @Override
  public void onStored(Notification notification, int storedBytes, Runnable removeFromPage) {
    Entry entry = new Entry(notification, storedBytes, removeFromPage);
    jobPageBytes += storedBytes;
    (state == State.LOADING_JOB_PAGES ? entries : transactionEntries).add(entry);
  }

  @Override
  public void onTransactionCommitted() {
    if (transactionEntries.isEmpty()) {
      return;
    }
    // The pages of a transaction are processed in any order.
    transactionEntries.sort(BY_NUMBER);
    entries.addAll(transactionEntries);
    transactionEntries.clear();
    committedNumber = numberAt(entries.size() - 1);
    if (state != State.LOADED) {
      return;
    }
    if (retainedCount() > maxRetained) {
      discardBefore(committedNumber - maxRetained + maxRetained / DISCARD_DIVISOR);
    }
    moveToBacklog();
    wakeDelivery.run();
  }

  /** Moves the oldest notifications from job pages to a backlog page when there are too many. */
  private void moveToBacklog() {
    if (backlogWritePending || jobPageBytes <= maxValueBytes * MAX_JOB_PAGE_FRACTION) {
      return;
    }
    List<Notification> chunk = new ArrayList<>();
    int remainingBytes = maxValueBytes - PAGE_OVERHEAD_BYTES;
    // The newest stay: a new leader reads them from the job pages to continue the numbering.
    int end = entries.size() - MIN_NOTIFICATIONS_IN_JOB_PAGES;
    for (int i = head + (int) Math.max(0, lastBacklogNumber + 1 - firstNumber()); i < end; i++) {
      remainingBytes -= entries.get(i).storedBytes;
      if (remainingBytes < 0) {
        break;
      }
      chunk.add(entries.get(i).notification);
    }
    if (chunk.isEmpty()) {
      return;
    }
    long page = backlogPages.isEmpty() ? 0 : backlogPages.lastKey() + 1;
    long last = chunk.get(chunk.size() - 1).number();
    backlogWritePending = true;
    commit.accept(
        Mutation.of(
            // Same priority as final states: otherwise a burst of final states would delay the
            // move, and each of their transactions would change more job pages.
            Mutation.Priority.FINAL_STATE,
            List.of(
                new Mutation.Write(
                    RecordKeys.NOTIFICATION_BACKLOG + page,
                    () -> RecordWire.page(Stream.of(), chunk))),
            () -> {
              backlogWritePending = false;
              backlogPages.put(page, last);
              for (Notification notification : chunk) {
                if (notification.number() >= firstNumber()) {
                  removeFromJobPage(entry(notification.number()));
                }
              }
              lastBacklogNumber = last;
              deleteUnneededBacklogPages();
              moveToBacklog();
            }));
  }

  private void removeFromJobPage(Entry entry) {
    if (entry.removeFromPage != null) {
      entry.removeFromPage.run();
      entry.removeFromPage = null;
      jobPageBytes -= entry.storedBytes;
    }
  }

  /** Deletes the backlog pages that contain only notifications that have left the log. */
  private void deleteUnneededBacklogPages() {
    while (!backlogPages.isEmpty() && backlogPages.firstEntry().getValue() < firstNumber()) {
      long page = backlogPages.pollFirstEntry().getKey();
      commit.accept(
          Mutation.of(
              Mutation.Priority.CLEANUP,
              List.of(new Mutation.Write(RecordKeys.NOTIFICATION_BACKLOG + page, () -> null)),
              () -> {}));
    }
  }

  private long firstNumber() {
    return head < entries.size() ? numberAt(head) : committedNumber + 1;
  }

  private Entry entry(long number) {
    return entries.get(head + (int) (number - firstNumber()));
  }

  private Notification notificationAt(long number) {
    return entry(number).notification;
  }

  /** The next notification that matches the subscription, or null; the cursor skips all others. */
  public Notification nextFor(Subscription subscription) {
    Cursor cursor = cursor(subscription);
    Notification match = null;
    while (match == null && cursor.lastNumber < committedNumber) {
      Notification next = notificationAt(cursor.lastNumber + 1);
      if (subscription.matches(next)) {
        match = next;
      } else {
        cursor.lastNumber++;
      }
    }
    onCursorAdvanced(cursor);
    return match;
  }

  /** The number of notifications pending for a subscriber, and the oldest of them or null. */
  public record Backlog(long count, Notification oldest) {}

  /** Counts the notifications pending for a subscriber; scans the log. */
  public Backlog backlog(Subscription subscription) {
    if (!subscription.retainsNotifications()) {
      return new Backlog(0, null);
    }
    Notification oldest = nextFor(subscription);
    long count = 0;
    for (long n = cursor(subscription).lastNumber + 1;
        oldest != null && n <= committedNumber;
        n++) {
      count += subscription.matches(notificationAt(n)) ? 1 : 0;
    }
    return new Backlog(count, oldest);
  }

  /**
   * Moves a subscriber's cursor to the position that its receiver reports. The position may be
   * ahead of the cursor when an earlier leader delivered more than it stored, or behind when the
   * receiver lost data.
   *
   * @param position the sequence up to which the receiver has everything, and nothing beyond
   * @return false when the position is beyond the last notification; the cursor is unchanged then
   */
  public boolean confirm(Subscription subscription, long position) {
    Cursor cursor = cursor(subscription);
    DeliveryProgress before = cursor.progress();
    if (position >= cursor.lastSequence) {
      cursor.firstLostSequence = 0;
      while (cursor.lastSequence < position) {
        Notification next = nextFor(subscription);
        if (next == null) {
          cursor.moveTo(before);
          return false;
        }
        cursor.lastNumber = next.number();
        cursor.lastSequence++;
      }
    } else {
      while (cursor.lastSequence > position && cursor.lastNumber >= firstNumber()) {
        cursor.lastSequence -= subscription.matches(notificationAt(cursor.lastNumber)) ? 1 : 0;
        cursor.lastNumber--;
      }
      cursor.firstLostSequence = cursor.lastSequence > position ? position + 1 : 0;
    }
    onCursorAdvanced(cursor);
    return true;
  }

  /**
   * Moves a subscriber's cursor so that the next notification sent has the given sequence.
   *
   * @return false when that notification is not retained or never existed; the cursor is unchanged
   *     then
   */
  public boolean resumeFrom(Subscription subscription, long sequence) {
    Cursor cursor = cursor(subscription);
    DeliveryProgress before = cursor.progress();
    if (!confirm(subscription, sequence - 1) || cursor.firstLostSequence > 0) {
      cursor.moveTo(before);
      return false;
    }
    storeProgress(cursor.page);
    return true;
  }

  // ---- progress

  /**
   * Marks notifications before a number as lost to the subscribers that have not confirmed them, so
   * that they can leave the log.
   */
  private void discardBefore(long number) {
    for (Subscription subscription : subscriptions.values()) {
      Cursor cursor = cursor(subscription);
      long lost = 0;
      while (subscription.retainsNotifications() && cursor.lastNumber + 1 < number) {
        cursor.lastNumber++;
        if (subscription.matches(notificationAt(cursor.lastNumber))) {
          lost++;
          cursor.lastSequence++;
          cursor.firstLostSequence =
              cursor.firstLostSequence == 0 ? cursor.lastSequence : cursor.firstLostSequence;
        }
      }
      if (lost > 0) {
        log.warn("Notifications discarded: subscription={} count={}", subscription.name(), lost);
      }
    }
    progressPages.forEach(this::storeProgress);
  }

  /**
   * Stores a page of progress once its subscribers have advanced far enough. The next leader sends
   * again what was confirmed but not stored, which is harmless; a write for each notification would
   * exceed the write budget.
   */
  private void onCursorAdvanced(Cursor cursor) {
    long advance = cursor.lastNumber - cursor.countedNumber;
    cursor.countedNumber = cursor.lastNumber;
    if (advance <= 0) {
      return;
    }
    cursor.page.unstoredAdvance += advance;
    if (isWriteDue(cursor.page) && !cursor.page.writePending) {
      storeProgress(cursor.page);
    }
  }

  private boolean isWriteDue(ProgressPage page) {
    return page.unstoredAdvance
        >= (long) PROGRESS_WRITE_INTERVAL * progressPages.size() * page.cursors.size();
  }

  /** Writes a page of progress, or requests another write when one is pending. */
  private void storeProgress(ProgressPage page) {
    if (page.writePending) {
      page.rewriteRequested = true;
      return;
    }
    page.writePending = true;
    Map<Cursor, DeliveryProgress> rendered = new HashMap<>();
    commit.accept(
        Mutation.of(
            Mutation.Priority.CLEANUP,
            List.of(new Mutation.Write(page.key, () -> render(page, rendered))),
            () -> {
              page.writePending = false;
              rendered.forEach((cursor, progress) -> cursor.storedProgress = progress);
              trim();
              if (page.rewriteRequested || isWriteDue(page)) {
                storeProgress(page);
              }
            }));
  }

  private static JsonNode render(ProgressPage page, Map<Cursor, DeliveryProgress> rendered) {
    page.rewriteRequested = false;
    page.unstoredAdvance = 0;
    rendered.clear();
    Map<String, DeliveryProgress> entries = new LinkedHashMap<>();
    page.cursors.forEach(
        (source, cursor) -> {
          rendered.put(cursor, cursor.progress());
          entries.put(source, cursor.progress());
        });
    return DeliveryWire.progress(entries);
  }

  /** Drops the notifications that all subscribers have confirmed, according to stored progress. */
  private void trim() {
    long confirmedNumber = committedNumber;
    for (Subscription subscription : subscriptions.values()) {
      if (subscription.retainsNotifications()) {
        Cursor cursor = cursor(subscription);
        confirmedNumber =
            Math.min(
                confirmedNumber, Math.min(cursor.storedProgress.lastNumber(), cursor.lastNumber));
      }
    }
    // The newest always stays: the next leader continues the numbering from it.
    while (head < entries.size() - 1 && numberAt(head) <= confirmedNumber) {
      removeFromJobPage(entries.get(head++));
    }
    if (head > entries.size() / 2) {
      entries.subList(0, head).clear();
      head = 0;
    }
    deleteUnneededBacklogPages();
  }

  public int retainedCount() {
    return entries.size() - head;
  }
}
