package io.pineladder;

import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.RecordWire;
import java.util.List;

/** Stores the configuration that all controllers share; used by the leader only. */
final class ConfigurationWriter {
  private final TermLifecycle lifecycle;
  private final Committer committer;

  /** Machine types received while the term was loading; null if none. */
  private List<MachineType> pendingMachineTypes;

  ConfigurationWriter(TermLifecycle lifecycle, Committer committer) {
    this.lifecycle = lifecycle;
    this.committer = committer;
  }

  /**
   * Stores the machine types, so that submissions are accepted during an outage of the cloud API.
   * Types received while the term is loading are stored once it leads: other controllers need them
   * to accept jobs while there is no leader.
   */
  void storeMachineTypes(List<MachineType> machineTypes) {
    if (!lifecycle.isLeading()) {
      pendingMachineTypes = machineTypes;
      return;
    }
    committer.submit(
        Mutation.of(
            Mutation.Priority.CLEANUP,
            List.of(
                new Mutation.Write(
                    RecordKeys.MACHINE_TYPES, () -> RecordWire.machineTypes(machineTypes))),
            () -> {}));
  }

  /** Stores what was received while the term was loading. */
  void storePending() {
    if (pendingMachineTypes != null) {
      storeMachineTypes(pendingMachineTypes);
    }
  }

  /** Stores the operator settings; {@code onStored} is called after the commit. */
  void storeOperatorSettings(OperatorSettings settings, Runnable onStored) {
    committer.submit(
        Mutation.of(
            Mutation.Priority.ACCEPTANCE,
            List.of(
                new Mutation.Write(
                    RecordKeys.OPERATOR_SETTINGS, () -> RecordWire.operatorSettings(settings))),
            onStored));
  }
}
