package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.wire.Json;
import io.pineladder.wire.MalformedMessageException;

/**
 * The value of one record with the revision of its last change: either a JSON tree that is shared
 * with the leader's memory, or bytes, which take less memory.
 */
record StoredValue(long version, JsonNode value, byte[] bytes) implements Snapshot.Entry {
  static StoredValue ofTree(long version, JsonNode value) {
    return new StoredValue(version, value, null);
  }

  static StoredValue ofBytes(long version, byte[] json) {
    return new StoredValue(version, null, json);
  }

  StoredValue withVersion(long newVersion) {
    return new StoredValue(newVersion, value, bytes);
  }

  @Override
  public byte[] json() {
    return bytes != null ? bytes : Json.bytes(value);
  }

  JsonNode parse() throws MalformedMessageException {
    return value != null ? value : Json.parseObject(bytes);
  }
}
