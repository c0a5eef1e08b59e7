package io.pineladder;

import io.pineladder.model.MachineType;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.AsyncHttpClient.Request;
import io.pineladder.net.EventLoop;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.MalformedMessageException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fetches the cloud's machine types for the configuration while this controller leads. */
final class MachineTypeFetcher {
  private static final Logger log = LoggerFactory.getLogger(MachineTypeFetcher.class);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(60);

  /** Between two requests while no machine type is known, which stops all submissions. */
  private static final Duration INITIAL_INTERVAL = Duration.ofSeconds(2);

  private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(3);

  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final String cloudAddress;
  private final ClusterConfiguration configuration;

  /** Gets machine types that are not as they were known, to be stored. */
  private final Consumer<List<MachineType>> onChanged;

  private Instant requestedAt;

  MachineTypeFetcher(
      AsyncHttpClient httpClient,
      EventLoop eventLoop,
      String cloudAddress,
      ClusterConfiguration configuration,
      Consumer<List<MachineType>> onChanged) {
    this.httpClient = httpClient;
    this.eventLoop = eventLoop;
    this.cloudAddress = cloudAddress;
    this.configuration = configuration;
    this.onChanged = onChanged;
  }

  /** Fetches the types if the last request is an interval ago. */
  void fetchIfDue() {
    Duration interval =
        configuration.machineTypes().isEmpty() ? INITIAL_INTERVAL : REFRESH_INTERVAL;
    if (requestedAt == null || !requestedAt.plus(interval).isAfter(eventLoop.now())) {
      fetch();
    }
  }

  /** Fetches the types now; a request that fails is repeated when the next one is due. */
  void fetch() {
    requestedAt = eventLoop.now();
    httpClient.call(
        Request.get(cloudAddress, "/flavors", CLOUD_TIMEOUT),
        reply -> {
          if (!reply.hasStatus(200)) {
            return;
          }
          try {
            onFetched(CloudWire.parseTypes(reply.body()));
          } catch (MalformedMessageException e) {
            log.warn("Machine types from cloud malformed: error={}", e.getMessage());
          }
        });
  }

  private void onFetched(List<MachineType> fetched) {
    boolean changed = !fetched.equals(configuration.machineTypes());
    configuration.setMachineTypes(fetched);
    if (changed) {
      onChanged.accept(fetched);
    }
  }
}
