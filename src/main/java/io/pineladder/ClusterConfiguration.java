package io.pineladder;

import io.pineladder.delivery.DeliveryContext;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.retry.Backoff;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration that the state service holds for all controllers, as this one knows it: the
 * cluster version, the machine types, what operators have set, and the networks that notifications
 * may go to. Followed by a watch, whether this controller leads or not.
 */
final class ClusterConfiguration {
  private static final Logger log = LoggerFactory.getLogger(ClusterConfiguration.class);
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** What follows when configuration was read or has changed. */
  interface Listener {
    /** The records have a version that this software must neither read nor write. */
    void onUnsupportedVersion();

    void onMachineTypes(List<MachineType> machineTypes);

    void onOperatorSettings(OperatorSettings settings);
  }

  private final StoreClient storeClient;
  private final Backoff retry;
  private final ClusterVersion clusterVersion;
  private final DeliveryContext delivery;
  private final Listener listener;
  private List<MachineType> machineTypes = List.of();
  private OperatorSettings operatorSettings = OperatorSettings.DEFAULTS;
  private boolean closed;

  /**
   * The configuration before anything was read.
   *
   * @param clusterVersion raised as the record of it is read
   * @param delivery learns the networks it may deliver to; null where delivery is switched off
   */
  ClusterConfiguration(
      StoreClient storeClient,
      ClusterVersion clusterVersion,
      DeliveryContext delivery,
      Listener listener) {
    this.storeClient = storeClient;
    this.retry = storeClient.newBackoff();
    this.clusterVersion = clusterVersion;
    this.delivery = delivery;
    this.listener = listener;
  }

  /** The version of records and semantics that is in force, as far as this controller knows. */
  ClusterVersion clusterVersion() {
    return clusterVersion;
  }

  /** The cloud's machine types; empty until they are known. */
  List<MachineType> machineTypes() {
    return machineTypes;
  }

  OperatorSettings operatorSettings() {
    return operatorSettings;
  }

  /** Reads the configuration of the generation in force, and follows it until the next one. */
  void follow() {
    long generation = storeClient.generation().base();
    BooleanSupplier wanted = () -> !closed && storeClient.generation().base() == generation;
    storeClient.listAll(
        RecordKeys.CONFIGURATION,
        wanted,
        listing -> {
          onEntries(listing.entries());
          watch(listing.revision(), wanted);
        });
  }

  /** Ends all following. */
  void close() {
    closed = true;
  }

  private void watch(long afterRevision, BooleanSupplier wanted) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    storeClient.watch(
        RecordKeys.CONFIGURATION,
        afterRevision,
        WATCH_TIMEOUT,
        watched -> {
          if (!wanted.getAsBoolean()) {
            return;
          }
          StoreWire.Changes changes = watched.changes();
          if (changes != null) {
            retry.reset();
            onEntries(changes.entries());
            watch(changes.revision(), wanted);
          } else {
            // 410: the service no longer has the changes after this revision.
            storeClient.scheduleRetry(
                retry, watched.reply().hasStatus(410) ? this::follow : () -> watch(afterRevision, wanted));
          }
        });
  }

  /** Takes in entries that were read, by the watch or by a new term. */
  void onEntries(List<StoreWire.Entry> entries) {
    entries.forEach(this::onEntry);
  }

  private void onEntry(StoreWire.Entry entry) {
    if (entry.key().equals(RecordKeys.DELIVERY_NETWORKS) && delivery != null) {
      delivery.setAllowedNetworks(entry.value());
    }
    if (entry.value() == null) {
      return;
    }
    if (entry.key().equals(RecordKeys.CLUSTER_VERSION)) {
      raiseClusterVersion(entry);
    }
    try {
      if (entry.key().equals(RecordKeys.MACHINE_TYPES)) {
        setMachineTypes(RecordWire.parseMachineTypes(entry.value()));
      } else if (entry.key().equals(RecordKeys.OPERATOR_SETTINGS)) {
        operatorSettings =
            RecordWire.parseOperatorSettings(entry.value(), OperatorSettings.DEFAULTS);
        listener.onOperatorSettings(operatorSettings);
      }
    } catch (MalformedMessageException e) {
      log.warn("Configuration record malformed: key={} error={}", entry.key(), e.getMessage());
    }
  }

  private void raiseClusterVersion(StoreWire.Entry entry) {
    try {
      clusterVersion.raiseTo(RecordWire.parseVersion(entry.value()));
    } catch (MalformedMessageException e) {
      log.error("Cluster version record malformed: key={} error={}", entry.key(), e.getMessage());
    }
    if (clusterVersion.isUnsupported()) {
      listener.onUnsupportedVersion();
    }
  }

  /** The machine types were read from the store, or fetched from the cloud. */
  void setMachineTypes(List<MachineType> known) {
    machineTypes = List.copyOf(known);
    listener.onMachineTypes(machineTypes);
  }
}
