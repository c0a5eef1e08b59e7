package io.pineladder.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.MachineType;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Messages of the cloud API: machine types, rentals, releases and the machine list. */
public final class CloudWire {
  /** Maximum number of machines in one rental. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  /** Maximum number of machines in one release. */
  public static final int MAX_MACHINES_PER_RELEASE = 100;

  /** Number of machines in a full page of the list. */
  public static final int PAGE_SIZE = 500;

  private static final double MAX_AMOUNT = 1e9;

  private CloudWire() {}

  /** The state of a machine in the cloud's list. */
  public enum MachineStatus {
    /** Does not run the agent yet. */
    BOOTING,
    /** Running, or in a status that this version does not know. */
    RUNNING,
    FAILED
  }

  /**
   * A machine in the cloud's list.
   *
   * @param address null until the cloud has assigned one
   * @param age time since the creation of the machine
   */
  public record ListedMachine(
      String name,
      String address,
      String type,
      String zone,
      boolean spot,
      MachineStatus status,
      Duration age) {}

  /** A page of the machine list and whether further pages follow. */
  public record Page(List<ListedMachine> machines, boolean hasMore) {}

  /** Reads the machine types that can be rented. */
  public static List<MachineType> parseTypes(byte[] body) throws MalformedMessageException {
    return readTypes(new Fields(Json.parseObject(body)));
  }

  static List<MachineType> readTypes(Fields in) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (Fields type : in.objects("hulls")) {
      List<String> zones = type.stringsOrNull("yards");
      types.add(
          new MachineType(
              type.string("sku"),
              Resources.of(
                  type.number("vcpus", 0, MAX_AMOUNT),
                  type.number("cards", 0, MAX_AMOUNT),
                  type.number("memory_gb", 0, MAX_AMOUNT)),
              type.number("local_gb", 0, MAX_AMOUNT),
              type.number("pull_gb_per_s", 0, MAX_AMOUNT),
              type.number("hourly", 0, MAX_AMOUNT),
              type.number("spot_price", 0, MAX_AMOUNT),
              type.seconds("boot_s"),
              zones == null ? List.of() : List.copyOf(zones)));
    }
    return types;
  }

  static ObjectNode writeTypes(List<MachineType> types) {
    ObjectNode out = Json.object();
    ArrayNode list = out.putArray("hulls");
    for (MachineType type : types) {
      ObjectNode item =
          list.addObject()
              .put("sku", type.name())
              .put("vcpus", type.capacity().cpus())
              .put("cards", type.capacity().gpus())
              .put("memory_gb", type.capacity().memoryGb())
              .put("local_gb", type.cacheGb())
              .put("pull_gb_per_s", type.fetchGbPerSecond())
              .put("hourly", type.onDemandPrice())
              .put("spot_price", type.spotPrice())
              .put("boot_s", JobWire.seconds(type.bootTime()));
      ArrayNode zones = item.putArray("yards");
      type.zones().forEach(zones::add);
    }
    return out;
  }

  /**
   * Encodes a request to rent machines.
   *
   * @param idempotencyKey identifies the rental; a repeated request rents no further machines
   * @param spot whether the machines are preemptible
   */
  public static byte[] rentalRequest(
      String idempotencyKey, String type, String zone, boolean spot, int count) {
    return Json.bytes(
        Json.object()
            .put("charter", idempotencyKey)
            .put("hull", type)
            .put("yard", zone)
            .put("loaners", spot)
            .put("count", count));
  }

  /** The names of the rented machines; empty if the response names none. */
  public static List<String> parseRentedNames(byte[] body) throws MalformedMessageException {
    List<String> names = new Fields(Json.parseObject(body)).stringsOrNull("hosts");
    return names == null ? List.of() : names;
  }

  /** Encodes a request to release machines. */
  public static byte[] releaseRequest(List<String> machines) {
    ObjectNode out = Json.object();
    ArrayNode list = out.putArray("hosts");
    machines.forEach(list::add);
    return Json.bytes(out);
  }

  /** Reads a page of the machine list. */
  public static Page parsePage(byte[] body) throws MalformedMessageException {
    Fields in = new Fields(Json.parseObject(body));
    List<ListedMachine> machines = new ArrayList<>();
    for (Fields item : in.objects("hosts")) {
      machines.add(
          new ListedMachine(
              item.string("ref"),
              item.stringOr("addr", null),
              item.string("hull"),
              item.string("yard"),
              item.boolOr("loaners", false),
              switch (item.string("status")) {
                case "booting" -> MachineStatus.BOOTING;
                case "failed" -> MachineStatus.FAILED;
                default -> MachineStatus.RUNNING;
              },
              item.seconds("age_s")));
    }
    return new Page(machines, in.boolOr("truncated", false));
  }
}
