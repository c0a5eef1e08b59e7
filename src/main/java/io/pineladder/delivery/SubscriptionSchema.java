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

/** The published JSON Schema of a subscription. */
final class SubscriptionSchema {
  private static final String RESOURCE = "subscription.schema.json";

  /**
   * A violation of the schema.
   *
   * @param pointer JSON pointer to the offending value
   */
  record Fault(String pointer, String message) {}

  /** Initialized on first use, because loading the validator's classes takes long. */
  private static final class Holder {
    static final Schema SCHEMA =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(json(), InputFormat.JSON);
  }

  private SubscriptionSchema() {}

  static String json() {
    try (InputStream in = SubscriptionSchema.class.getResourceAsStream(RESOURCE)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns all violations. */
  static List<Fault> validate(JsonNode subscription) {
    List<Fault> faults = new ArrayList<>();
    for (Error error : Holder.SCHEMA.validate(subscription)) {
      String location = error.getInstanceLocation().toString();
      // Point to a missing or additional property itself rather than to its object.
      String pointer =
          error.getProperty() == null ? location : location + "/" + error.getProperty();
      faults.add(new Fault(pointer, error.getMessage()));
    }
    return faults;
  }
}
