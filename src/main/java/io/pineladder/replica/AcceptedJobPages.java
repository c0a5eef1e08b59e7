package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Caches the job ids of accepted-job pages, so that each version of a page is parsed once. */
final class AcceptedJobPages {
  private static final Logger log = LoggerFactory.getLogger(AcceptedJobPages.class);

  private record PageIds(long version, Set<String> jobIds) {}

  private final Map<String, PageIds> byPage = new HashMap<>();

  /** Whether one of these pages contains the job. */
  boolean contains(Map<String, StoredValue> pages, String jobId) {
    for (Map.Entry<String, StoredValue> page : pages.entrySet()) {
      PageIds cached = byPage.get(page.getKey());
      if (cached == null || cached.version != page.getValue().version()) {
        cached = new PageIds(page.getValue().version(), jobIds(page.getKey(), page.getValue()));
        byPage.put(page.getKey(), cached);
      }
      if (cached.jobIds.contains(jobId)) {
        return true;
      }
    }
    return false;
  }

  private static Set<String> jobIds(String key, StoredValue page) {
    Set<String> ids = new HashSet<>();
    try {
      for (JsonNode record : RecordWire.entries(page.parse())) {
        ids.add(RecordWire.parseJob(record).spec().id());
      }
    } catch (MalformedMessageException e) {
      log.warn("Unreadable page of accepted jobs: key={} detail=\"{}\"", key, e.getMessage());
    }
    return ids;
  }
}
