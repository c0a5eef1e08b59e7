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
 * The notices that are stored and not yet confirmed by all who want them, and how far each
 * subscriber is, in one term of leadership.
 *
 * <p>All notices are one log, numbered without a gap in the order in which they were committed. A
 * subscriber's own sequence counts those of them that are for it, so it follows from the log and is
 * the same whoever counts; only where a subscriber stands is stored, not a number for each of its
 * notices. What all have confirmed leaves the log once that is stored, or a later leader could not
 * count on from where the record of a subscriber stands.
 *
 * <p>A notice stands in its job's page at first. Where many wait they move, the oldest first, to
 * pages of their own: job pages that are full of notices take in no jobs, and a new leader would
 * have to read them all before it begins. It needs the newest only, from which it counts on, and
 * reads the rest once it leads.
 */
public final class NotificationOutbox implements NotificationLog {
  private static final Logger log = LoggerFactory.getLogger(NotificationOutbox.class);

  /** So many are kept; what a subscriber has not confirmed beyond that is lost to it. */
  public static final int MAX_RETAINED = 100_000;

  /** At the bound so large a part of what is kept goes at once. */
  private static final int PARTS = 64;

  /**
   * A page of progress is stored once its subscribers are so many notices further on average, for
   * each page there is. By the one that is furthest, a hundred who take turns would each have it
   * stored.
   */
  private static final int PACE = 50;

  private static final Comparator<Entry> BY_NUMBER =
      Comparator.comparingLong(entry -> entry.notification.number());

  /** What a page takes beside its notices. */
  private static final int FRAME_BYTES = 64;

  /** The most bytes of one subscriber's progress in JSON. */
  private static final int PROGRESS_BYTES = 180;

  /**
   * So large a part of one value may wait in the pages of jobs. With more the page that takes in
   * new jobs would fill up, and jobs that end together would be in several pages.
   */
  private static final double IN_JOBS = 0.5;

  /** So many of the newest stay there in any case. */
  private static final int NEWEST = 8;

  private static final class Entry {
    final Notification notification;

    /** What it takes in its job's page. */
    final int bytes;

    /** Takes it out of its job's page; null once that has been asked for. */
    private Runnable drop;

    Entry(Notification notification, int bytes, Runnable drop) {
      this.notification = notification;
      this.bytes = bytes;
      this.drop = drop;
    }
  }

  /** Where a subscriber is. */
  public static final class Cursor {
    private long number;
    private long sequence;
    private long lostFrom;

    /** What the store holds. */
    private DeliveryProgress stored;

    /** The number up to which its page's advance counts it. */
    private long counted;

    private ProgressPage page;

    private Cursor(DeliveryProgress at) {
      moveTo(at);
      stored = at;
      counted = at.lastNumber();
    }

    private void moveTo(DeliveryProgress at) {
      number = at.lastNumber();
      sequence = at.lastSequence();
      lostFrom = at.firstLostSequence();
    }

    /** Where it is now. */
    public DeliveryProgress now() {
      return new DeliveryProgress(number, sequence, lostFrom);
    }
  }

  /** A value with where some subscribers are. */
  private static final class ProgressPage {
    final String key;
    final Map<String, Cursor> cursors = new LinkedHashMap<>();

    /** It is on its way to the store, and is to go there once more. */
    private boolean writing;

    private boolean again;

    /** By how many notices its subscribers are further, added up, than when it was stored. */
    private long advance;

    ProgressPage(String key) {
      this.key = key;
    }
  }

  /** What is known of the log. */
  private enum State {
    /** The pages of jobs are being read. */
    READING_JOBS,
    /** The newest notices are known, so that others can follow; older ones are being read. */
    READING_BACKLOG,
    WHOLE
  }

  private final int most;
  private final int valueBytes;
  private final int perPage;
  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final Runnable onStored;

  /** The log, without gaps; {@code head} of its entries are dropped and go at times. */
  private final List<Entry> entries = new ArrayList<>();

  private int head;
  private long committed;
  private long assigned;
  private State state = State.READING_JOBS;

  /** Pages of notices that wait for long, with the highest number in each. */
  private final TreeMap<Long, Long> backlogPages = new TreeMap<>();

  /** Notices up to this one have left the pages of jobs. */
  private long sealedTo;

  private boolean sealing;

  /** What the notices in the pages of jobs take. */
  private long bytesInJobs;

  private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();

  /** Subscriptions being created, and filters being changed, which want notices from here on. */
  private final Map<String, Subscription> coming = new HashMap<>();

  private final Map<String, Cursor> cursors = new HashMap<>();

  private final List<ProgressPage> pages = new ArrayList<>();

  /** Notices of the transaction that has just committed. */
  private final List<Entry> fresh = new ArrayList<>();

  /**
   * An empty one.
   *
   * @param most how many notices are kept
   * @param onStored told of each notice that is stored, and of what may be sent anew
   */
  public NotificationOutbox(
      int most, int valueBytes, EventLoop eventLoop, Consumer<Mutation> commit, Runnable onStored) {
    this.most = most;
    this.valueBytes = valueBytes;
    this.perPage = Math.max(1, valueBytes / PROGRESS_BYTES);
    this.eventLoop = eventLoop;
    this.commit = commit;
    this.onStored = onStored;
  }

  // ---- the start of a term

  /** A subscription read at the start of the term. */
  public void onSubscriptionLoaded(Subscription subscription) {
    subscriptions.put(subscription.name(), subscription);
  }

  /** The pages of jobs have been read, with the newest notices: ends may follow. */
  public void onJobPagesLoaded() {
    state = State.READING_BACKLOG;
    entries.sort(BY_NUMBER);
    committed = entries.isEmpty() ? 0 : at(entries.size() - 1);
    for (Subscription subscription : subscriptions.values()) {
      committed = Math.max(committed, subscription.createdAfterNumber());
    }
    assigned = committed;
  }

  /**
   * All else has been read: notices that wait for long, and where the subscribers are, each by
   * their pages' keys.
   */
  public void onBacklogLoaded(
      Map<String, List<Notification>> backlog,
      Map<String, Map<String, DeliveryProgress>> progress) {
    // Both copies of one that had moved and whose job's page was not written since.
    Map<Long, Entry> inJobs = new HashMap<>();
    entries.forEach(entry -> inJobs.put(entry.notification.number(), entry));
    backlog.forEach(
        (key, notices) -> {
          long last = 0;
          for (Notification notification : notices) {
            last = Math.max(last, notification.number());
            Entry twice = inJobs.get(notification.number());
            if (twice == null) {
              entries.add(new Entry(notification, 0, null));
            } else {
              leaveJobs(twice);
            }
          }
          backlogPages.put(
              Long.parseLong(key.substring(RecordKeys.NOTIFICATION_BACKLOG.length())), last);
          sealedTo = Math.max(sealedTo, last);
        });
    entries.sort(BY_NUMBER);
    Set<String> sources = new HashSet<>();
    subscriptions.values().forEach(subscription -> sources.add(subscription.source()));
    progress.forEach(
        (key, page) -> {
          ProgressPage known =
              page(Integer.parseInt(key.substring(RecordKeys.DELIVERY_PROGRESS.length())));
          page.forEach(
              (source, at) -> {
                if (sources.contains(source)) {
                  cursors.put(source, settle(known, source, at));
                }
              });
        });
    subscriptions.values().forEach(this::beginTransaction);
    state = State.WHOLE;
    trim();
    mend();
    seal();
  }

  /** Whether everything has been read, so that subscribers can be told and administered. */
  public boolean isWhole() {
    return state == State.WHOLE;
  }

  /**
   * Only what is stored as needless is ever dropped, so what is kept has no gap. If it has one, and
   * nothing here makes one, whoever wanted what was there is told that it is lost.
   */
  private void mend() {
    int from = entries.size() - 1;
    while (from > head && at(from - 1) + 1 == at(from)) {
      from--;
    }
    if (from > head) {
      log.error("notices before {} are not all there", at(from));
      head = from;
    }
    for (Subscription subscription : subscriptions.values()) {
      Cursor cursor = cursor(subscription);
      long missing = first() - 1 - cursor.number;
      if (subscription.retainsNotifications() && missing > 0) {
        log.error("{} notices for {} are not there", missing, subscription.name());
        cursor.lostFrom = cursor.lostFrom == 0 ? cursor.sequence + 1 : cursor.lostFrom;
        cursor.sequence += missing;
        cursor.number += missing;
      }
    }
  }

  private long at(int index) {
    return entries.get(index).notification.number();
  }

  private Cursor beginTransaction(Subscription subscription) {
    return cursors.computeIfAbsent(
        subscription.source(),
        source -> {
          int index = 0;
          while (index < pages.size() && pages.get(index).cursors.size() >= perPage) {
            index++;
          }
          return settle(
              page(index), source, new DeliveryProgress(subscription.createdAfterNumber(), 0, 0));
        });
  }

  private static Cursor settle(ProgressPage page, String source, DeliveryProgress at) {
    Cursor cursor = new Cursor(at);
    cursor.page = page;
    page.cursors.put(source, cursor);
    return cursor;
  }

  private ProgressPage page(int index) {
    while (pages.size() <= index) {
      pages.add(new ProgressPage(RecordKeys.DELIVERY_PROGRESS + pages.size()));
    }
    return pages.get(index);
  }

  // ---- subscriptions

  public Map<String, Subscription> subscriptions() {
    return subscriptions;
  }

  /** It may want notices from here on, if its record comes to be stored. */
  public void expect(Subscription subscription) {
    coming.put(subscription.name(), subscription);
  }

  /** The number of the last notice stored, or in the transaction that is being put together. */
  public long last() {
    return assigned;
  }

  /** Its record, as it now stands, is stored. */
  public void subscribed(Subscription subscription) {
    coming.remove(subscription.name());
    subscriptions.put(subscription.name(), subscription);
    beginTransaction(subscription);
    trim();
    onStored.run();
  }

  /** Its filters, without those that nothing kept is older than. */
  public List<Subscription.Filter> filters(Subscription subscription) {
    List<Subscription.Filter> all = subscription.filters();
    int from = 0;
    while (from + 1 < all.size() && all.get(from + 1).afterNumber() < first()) {
      from++;
    }
    return all.subList(from, all.size());
  }

  /** Its record is gone. */
  public void unsubscribed(String name) {
    coming.remove(name);
    Subscription before = subscriptions.remove(name);
    if (before != null) {
      cursors.remove(before.source()).page.cursors.remove(before.source());
      trim();
    }
  }

  public Cursor cursor(Subscription subscription) {
    return cursors.get(subscription.source());
  }

  // ---- notices

  @Override
  public boolean hasSubscribers() {
    return !subscriptions.isEmpty() || !coming.isEmpty();
  }

  @Override
  public void beginTransaction() {
    assigned = committed;
  }

  @Override
  public Notification allocate(Job job) {
    String owner = job.spec.team();
    String jobClass = job.spec.jobClass();
    boolean wanted =
        subscriptions.values().stream().anyMatch(s -> s.mayMatch(owner, jobClass))
            || coming.values().stream().anyMatch(s -> s.mayMatch(owner, jobClass));
    return wanted
        ? new Notification(
            ++assigned,
            job.spec.id(),
            owner,
            jobClass,
            job.state(),
            job.spec.tasks(),
            // As it is stored, or a later leader's event would not be the same.
            eventLoop.wallClock().truncatedTo(ChronoUnit.MILLIS))
        : null;
  }

  @Override
  public void onStored(Notification notification, int bytes, Runnable drop) {
    Entry entry = new Entry(notification, bytes, drop);
    bytesInJobs += bytes;
    (state == State.READING_JOBS ? entries : fresh).add(entry);
  }

  @Override
  public void onTransactionCommitted() {
    if (fresh.isEmpty()) {
      return;
    }
    // A transaction's notices may stand in several pages.
    fresh.sort(BY_NUMBER);
    entries.addAll(fresh);
    fresh.clear();
    committed = at(entries.size() - 1);
    if (state != State.WHOLE) {
      return;
    }
    if (kept() > most) {
      giveUp(committed - most + most / PARTS);
    }
    seal();
    onStored.run();
  }

  /**
   * Moves the oldest notices in pages of jobs to a page of their own, where too many wait there.
   */
  private void seal() {
    if (sealing || bytesInJobs <= valueBytes * IN_JOBS) {
      return;
    }
    List<Notification> chunk = new ArrayList<>();
    int left = valueBytes - FRAME_BYTES;
    // Never the newest, which a new leader looks for in the pages of jobs.
    int to = entries.size() - NEWEST;
    for (int i = head + (int) Math.max(0, sealedTo + 1 - first()); i < to; i++) {
      left -= entries.get(i).bytes;
      if (left < 0) {
        break;
      }
      chunk.add(entries.get(i).notification);
    }
    if (chunk.isEmpty()) {
      return;
    }
    long page = backlogPages.isEmpty() ? 0 : backlogPages.lastKey() + 1;
    long last = chunk.get(chunk.size() - 1).number();
    sealing = true;
    commit.accept(
        Mutation.of(
            // Among the ends: put off in a rush it would leave them ever more pages to change.
            Mutation.Priority.FINAL_STATE,
            List.of(
                new Mutation.Write(
                    RecordKeys.NOTIFICATION_BACKLOG + page,
                    () -> RecordWire.page(Stream.of(), chunk))),
            () -> {
              sealing = false;
              backlogPages.put(page, last);
              for (Notification notification : chunk) {
                if (notification.number() >= first()) {
                  leaveJobs(entry(notification.number()));
                }
              }
              sealedTo = last;
              dropPages();
              seal();
            }));
  }

  private void leaveJobs(Entry entry) {
    if (entry.drop != null) {
      entry.drop.run();
      entry.drop = null;
      bytesInJobs -= entry.bytes;
    }
  }

  /** Deletes pages of which nothing is wanted any more. */
  private void dropPages() {
    while (!backlogPages.isEmpty() && backlogPages.firstEntry().getValue() < first()) {
      long page = backlogPages.pollFirstEntry().getKey();
      commit.accept(
          Mutation.of(
              Mutation.Priority.CLEANUP,
              List.of(new Mutation.Write(RecordKeys.NOTIFICATION_BACKLOG + page, () -> null)),
              () -> {}));
    }
  }

  private long first() {
    return head < entries.size() ? at(head) : committed + 1;
  }

  private Entry entry(long number) {
    return entries.get(head + (int) (number - first()));
  }

  private Notification at(long number) {
    return entry(number).notification;
  }

  /** The subscriber's next notice, or null; what is not for it is passed over. */
  public Notification allocate(Subscription subscription) {
    Cursor cursor = cursor(subscription);
    Notification found = null;
    while (found == null && cursor.number < committed) {
      Notification next = at(cursor.number + 1);
      if (subscription.matches(next)) {
        found = next;
      } else {
        cursor.number++;
      }
    }
    moved(cursor);
    return found;
  }

  /** How many notices the subscriber has before it, and when the oldest of them was made. */
  public record Backlog(long notices, Notification oldest) {}

  /** What waits for the subscriber; counts through the log, for those who ask. */
  public Backlog backlog(Subscription subscription) {
    if (!subscription.retainsNotifications()) {
      return new Backlog(0, null);
    }
    Notification oldest = allocate(subscription);
    long count = 0;
    for (long n = cursor(subscription).number + 1; oldest != null && n <= committed; n++) {
      count += subscription.matches(at(n)) ? 1 : 0;
    }
    return new Backlog(count, oldest);
  }

  /**
   * The subscriber has everything up to a sequence and nothing beyond. It may be ahead of what was
   * known, when an earlier leader delivered more than it stored, or behind, when it lost something.
   *
   * @return whether there can be such a receiver: it has nothing that was never sent
   */
  public boolean has(Subscription subscription, long position) {
    Cursor cursor = cursor(subscription);
    DeliveryProgress before = cursor.now();
    if (position >= cursor.sequence) {
      cursor.lostFrom = 0;
      while (cursor.sequence < position) {
        Notification next = allocate(subscription);
        if (next == null) {
          cursor.moveTo(before);
          return false;
        }
        cursor.number = next.number();
        cursor.sequence++;
      }
    } else {
      while (cursor.sequence > position && cursor.number >= first()) {
        cursor.sequence -= subscription.matches(at(cursor.number)) ? 1 : 0;
        cursor.number--;
      }
      cursor.lostFrom = cursor.sequence > position ? position + 1 : 0;
    }
    moved(cursor);
    return true;
  }

  /**
   * Goes to a sequence that an operator names: the next notice sent is that one.
   *
   * @return false when it is not kept, or was never there; nothing has changed then
   */
  public boolean seek(Subscription subscription, long sequence) {
    Cursor cursor = cursor(subscription);
    DeliveryProgress before = cursor.now();
    if (!has(subscription, sequence - 1) || cursor.lostFrom > 0) {
      cursor.moveTo(before);
      return false;
    }
    storeProgress(cursor.page);
    return true;
  }

  // ---- progress

  /**
   * The oldest notices are kept no longer: whoever has not confirmed them will be told of a loss.
   */
  private void giveUp(long before) {
    for (Subscription subscription : subscriptions.values()) {
      Cursor cursor = cursor(subscription);
      long lost = 0;
      while (subscription.retainsNotifications() && cursor.number + 1 < before) {
        cursor.number++;
        if (subscription.matches(at(cursor.number))) {
          lost++;
          cursor.sequence++;
          cursor.lostFrom = cursor.lostFrom == 0 ? cursor.sequence : cursor.lostFrom;
        }
      }
      if (lost > 0) {
        log.warn("{} notices are lost to subscription {}", lost, subscription.name());
      }
    }
    pages.forEach(this::storeProgress);
  }

  /**
   * Stores how far subscribers are once that is worth a change of the store. What is not stored is
   * sent again by the next leader, which does no harm; a change for each notice would.
   */
  private void moved(Cursor cursor) {
    long by = cursor.number - cursor.counted;
    cursor.counted = cursor.number;
    if (by <= 0) {
      return;
    }
    cursor.page.advance += by;
    if (isDue(cursor.page) && !cursor.page.writing) {
      storeProgress(cursor.page);
    }
  }

  private boolean isDue(ProgressPage page) {
    return page.advance >= (long) PACE * pages.size() * page.cursors.size();
  }

  /** Stores a page of progress, once more if it is on its way already. */
  private void storeProgress(ProgressPage page) {
    if (page.writing) {
      page.again = true;
      return;
    }
    page.writing = true;
    Map<Cursor, DeliveryProgress> rendered = new HashMap<>();
    commit.accept(
        Mutation.of(
            Mutation.Priority.CLEANUP,
            List.of(new Mutation.Write(page.key, () -> render(page, rendered))),
            () -> {
              page.writing = false;
              rendered.forEach((cursor, at) -> cursor.stored = at);
              trim();
              if (page.again || isDue(page)) {
                storeProgress(page);
              }
            }));
  }

  private static JsonNode render(ProgressPage page, Map<Cursor, DeliveryProgress> rendered) {
    page.again = false;
    page.advance = 0;
    rendered.clear();
    Map<String, DeliveryProgress> entries = new LinkedHashMap<>();
    page.cursors.forEach(
        (source, cursor) -> {
          rendered.put(cursor, cursor.now());
          entries.put(source, cursor.now());
        });
    return DeliveryWire.progress(entries);
  }

  /** Lets go of what nobody needs, as far as the store knows that. */
  private void trim() {
    long needless = committed;
    for (Subscription subscription : subscriptions.values()) {
      if (subscription.retainsNotifications()) {
        Cursor cursor = cursor(subscription);
        needless = Math.min(needless, Math.min(cursor.stored.lastNumber(), cursor.number));
      }
    }
    // The newest stays in any case: the next leader counts on from it.
    while (head < entries.size() - 1 && at(head) <= needless) {
      leaveJobs(entries.get(head++));
    }
    if (head > entries.size() / 2) {
      entries.subList(0, head).clear();
      head = 0;
    }
    dropPages();
  }

  /** How many notices are kept. */
  public int kept() {
    return entries.size() - head;
  }
}
