package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;

/** The encoded value of one record with the revision of its last change. */
record StoredValue(long version, byte[] json) implements Snapshot.Entry {
  StoredValue withVersion(long newVersion) {
    return new StoredValue(newVersion, json);
  }

  JsonNode parse() throws MalformedMessageException {
    return Json.parseObject(json);
  }
}
