package io.pineladder.delivery;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The published schema of a subscription; read when the first one is checked. */
final class SubscriptionSchema {
  private static final String RESOURCE = "subscription.schema.json";

  /** One fault, at its JSON pointer. */
  record Fault(String pointer, String what) {}

  /** Made when it is first needed: the validator's classes take their time to load. */
  private static final class Loaded {
    static final Schema SCHEMA =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(text(), InputFormat.JSON);
  }

  private SubscriptionSchema() {}

  /** The schema itself. */
  static String text() {
    try (InputStream in = SubscriptionSchema.class.getResourceAsStream(RESOURCE)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Every fault. */
  static List<Fault> check(JsonNode subscription) {
    List<Fault> faults = new ArrayList<>();
    for (Error error : Loaded.SCHEMA.validate(subscription)) {
      String at = error.getInstanceLocation().toString();
      // A property that is missing or too much is named, not the object that lacks or has it.
      String pointer = error.getProperty() == null ? at : at + "/" + error.getProperty();
      faults.add(new Fault(pointer, error.getMessage()));
    }
    return faults;
  }
}
