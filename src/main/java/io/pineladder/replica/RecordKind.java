package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Notification;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.HashSet;
import java.util.Set;

/** The kinds of records: how their values are checked, and what follows if one is unreadable. */
public enum RecordKind {
  JOB_PAGE(RecordKeys.JOB_PAGES, true, IfUnreadable.REBUILD),
  UNPAGED_JOB(RecordKeys.UNPAGED_JOB, false, IfUnreadable.REBUILD),
  COMPLETIONS(RecordKeys.COMPLETIONS, true, IfUnreadable.REBUILD),
  PLACEMENTS(RecordKeys.PLACEMENTS, true, IfUnreadable.REBUILD),
  ARCHIVED_FINAL_STATES(RecordKeys.ARCHIVED_FINAL_STATES, false, IfUnreadable.REBUILD),
  /** An estimate, which workers' caches make true again. */
  CACHED_IMAGES(RecordKeys.CACHED_IMAGES, true, IfUnreadable.REPLACE),
  FINAL_STATE(RecordKeys.FINAL_STATE, false, IfUnreadable.LEAVE),
  OTHER("", false, IfUnreadable.LEAVE);

  /** What a leader does about a value that neither it nor its replica can read. */
  public enum IfUnreadable {
    /** The records are rebuilt once, since another controller may have a readable value. */
    REBUILD,
    /** The value is replaced by the replica's latest one, or by an empty page. */
    REPLACE,
    /** The value is left as it is; whoever reads it goes on without it. */
    LEAVE
  }

  private final String prefix;
  private final boolean paged;
  private final IfUnreadable ifUnreadable;

  RecordKind(String prefix, boolean paged, IfUnreadable ifUnreadable) {
    this.prefix = prefix;
    this.paged = paged;
    this.ifUnreadable = ifUnreadable;
  }

  /** The kind of the record with this key. */
  public static RecordKind of(String key) {
    for (RecordKind kind : values()) {
      if (key.startsWith(kind.prefix)) {
        return kind;
      }
    }
    return OTHER;
  }

  /** What follows if a value of this kind cannot be read. */
  public IfUnreadable ifUnreadable() {
    return ifUnreadable;
  }

  /** Whether values of this kind are pages with entries. */
  public boolean isPaged() {
    return paged;
  }

  /** Whether the key is one that a controller can have written. */
  public boolean isValidKey(String key) {
    return !paged || RecordKeys.pageNumber(key, prefix) >= 0;
  }

  /** Checks that a new leader can load the record; the exception names what it cannot read. */
  static void check(StoreWire.Entry entry) throws MalformedMessageException {
    check(entry.key(), entry.value());
  }

  /** Checks a value as {@link #check(StoreWire.Entry)}. */
  static void check(String key, JsonNode value) throws MalformedMessageException {
    RecordKind kind = of(key);
    if (!kind.isValidKey(key)) {
      throw new MalformedMessageException("the key has no page number");
    }
    if (!value.isObject()) {
      throw new MalformedMessageException("not an object");
    }
    kind.checkContent(value);
  }

  /** Whether {@link #check(StoreWire.Entry)} accepts the record. */
  static boolean isReadable(StoreWire.Entry entry) {
    try {
      check(entry);
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  /** Checks an object without its key. */
  void checkContent(JsonNode value) throws MalformedMessageException {
    switch (this) {
      case JOB_PAGE -> checkJobPage(value);
      case UNPAGED_JOB -> RecordWire.parseJob(value);
      case COMPLETIONS -> {
        for (JsonNode item : RecordWire.entries(value)) {
          RecordWire.parseCompletions(item);
        }
      }
      case PLACEMENTS -> {
        for (JsonNode item : RecordWire.entries(value)) {
          RecordWire.parsePlacement(item);
        }
      }
      case CACHED_IMAGES -> {
        for (JsonNode item : RecordWire.entries(value)) {
          RecordWire.parseImages(item);
        }
      }
      case ARCHIVED_FINAL_STATES -> {
        RecordWire.parseFinalState(value);
        RecordWire.parseFinalStates(value);
      }
      case FINAL_STATE -> RecordWire.parseFinalState(value);
      default -> {}
    }
  }

  private static void checkJobPage(JsonNode value) throws MalformedMessageException {
    Set<Long> numbers = new HashSet<>();
    for (Notification notification : RecordWire.parseNotifications(value)) {
      if (!numbers.add(notification.number())) {
        throw new MalformedMessageException("a notification is in the page twice");
      }
    }
    Set<String> jobs = new HashSet<>();
    for (JsonNode item : RecordWire.entries(value)) {
      if (!jobs.add(RecordWire.parseJob(item).spec().id())) {
        throw new MalformedMessageException("a job is in the page twice");
      }
    }
  }
}
