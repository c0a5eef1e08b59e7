package io.pineladder;

import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.store.Committer;
import io.pineladder.store.Mutation;
import io.pineladder.store.RecordKeys;
import io.pineladder.wire.RecordWire;
import java.util.List;

/** Stores the configuration that all controllers follow; only a leader does. */
final class ConfigurationWriter {
  private final TermLifecycle lifecycle;
  private final Committer committer;

  /** Machine types that came while the records were read; null without any. */
  private List<MachineType> pendingMachineTypes;

  ConfigurationWriter(TermLifecycle lifecycle, Committer committer) {
    this.lifecycle = lifecycle;
    this.committer = committer;
  }

  /**
   * Stores the machine types, so that an outage of the cloud does not stop submissions. Types that
   * come while the records are read are stored afterwards: without them no other node would learn
   * them, and none could accept a job without a leader.
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

  /** The term leads from now on: stores what came while the records were read. */
  void storePending() {
    if (pendingMachineTypes != null) {
      storeMachineTypes(pendingMachineTypes);
    }
  }

  /** Stores what operators have set. */
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
