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

/** Fetches the machine types from the cloud API while this controller is the leader. */
final class MachineTypeFetcher {
  private static final Logger log = LoggerFactory.getLogger(MachineTypeFetcher.class);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(60);

  /** Used while no machine type is known, since no job can be accepted until then. */
  private static final Duration INITIAL_INTERVAL = Duration.ofSeconds(2);

  private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(3);

  private final AsyncHttpClient httpClient;
  private final EventLoop eventLoop;
  private final String cloudAddress;
  private final ClusterConfiguration configuration;

  /** Receives the machine types when they have changed, in order to store them. */
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

  /** Fetches the machine types if the interval since the last request has elapsed. */
  void fetchIfDue() {
    Duration interval =
        configuration.machineTypes().isEmpty() ? INITIAL_INTERVAL : REFRESH_INTERVAL;
    if (requestedAt == null || !requestedAt.plus(interval).isAfter(eventLoop.now())) {
      fetch();
    }
  }

  /** Fetches the machine types now; a failed request is retried when the next one is due. */
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
