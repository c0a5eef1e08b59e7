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
 * This controller's copy of the configuration that all controllers share through the key-value
 * store: the cluster version, the machine types, the operator settings, and the networks to which
 * notifications may be delivered. Kept up to date by a watch, on the leader and on followers.
 */
final class ClusterConfiguration {
  private static final Logger log = LoggerFactory.getLogger(ClusterConfiguration.class);
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

  /** Receives configuration that was read or has changed. */
  interface Listener {
    /** The cluster version in force is newer than this software supports. */
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
   * Creates an empty configuration; {@link #listAndWatch} reads it.
   *
   * @param clusterVersion raised when its record is read
   * @param delivery receives the allowed networks; null if delivery is disabled
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

  /** The cluster version in force, as far as this controller knows. */
  ClusterVersion clusterVersion() {
    return clusterVersion;
  }

  /** The machine types that the cloud provider offers; empty until they are known. */
  List<MachineType> machineTypes() {
    return machineTypes;
  }

  OperatorSettings operatorSettings() {
    return operatorSettings;
  }

  /** Reads the configuration of the current generation, and watches it until that changes. */
  void listAndWatch() {
    long generation = storeClient.generation().base();
    BooleanSupplier isCurrent = () -> !closed && storeClient.generation().base() == generation;
    storeClient.listAll(
        RecordKeys.CONFIGURATION,
        isCurrent,
        listing -> {
          applyEntries(listing.entries());
          watch(listing.revision(), isCurrent);
        });
  }

  /** Stops watching. */
  void close() {
    closed = true;
  }

  private void watch(long afterRevision, BooleanSupplier isCurrent) {
    if (!isCurrent.getAsBoolean()) {
      return;
    }
    storeClient.watch(
        RecordKeys.CONFIGURATION,
        afterRevision,
        WATCH_TIMEOUT,
        watched -> {
          if (!isCurrent.getAsBoolean()) {
            return;
          }
          StoreWire.Changes changes = watched.changes();
          if (changes != null) {
            retry.reset();
            applyEntries(changes.entries());
            watch(changes.revision(), isCurrent);
          } else {
            // 410: the store no longer retains the changes after this revision.
            storeClient.scheduleRetry(
                retry,
                watched.reply().hasStatus(410)
                    ? this::listAndWatch
                    : () -> watch(afterRevision, isCurrent));
          }
        });
  }

  /** Applies entries that were read by the watch or by a new term. */
  void applyEntries(List<StoreWire.Entry> entries) {
    entries.forEach(this::applyEntry);
  }

  private void applyEntry(StoreWire.Entry entry) {
    if (entry.key().equals(RecordKeys.CLUSTER_VERSION) && !entry.isDeletion()) {
      raiseClusterVersion(entry);
    }
    try {
      if (entry.key().equals(RecordKeys.DELIVERY_NETWORKS) && delivery != null) {
        delivery.setAllowedNetworks(entry.value());
      }
      if (entry.isDeletion()) {
        return;
      }
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

  /** Sets the machine types, which were read from the store or fetched from the cloud provider. */
  void setMachineTypes(List<MachineType> types) {
    machineTypes = List.copyOf(types);
    listener.onMachineTypes(machineTypes);
  }
}
