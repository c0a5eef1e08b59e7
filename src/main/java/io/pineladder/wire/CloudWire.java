package io.pineladder.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.MachineType;
import io.pineladder.model.Resources;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Messages of the cloud's API: machine types, rental, release and the machine list. */
public final class CloudWire {
  /** The most machines that one rental may ask for. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  /** The most machines that one release may name. */
  public static final int MAX_MACHINES_PER_RELEASE = 100;

  /** Machines in a full page of the list. */
  public static final int PAGE_SIZE = 500;

  private static final double MAX_AMOUNT = 1e9;

  private CloudWire() {}

  /** The state of a machine in the cloud's list. */
  public enum MachineStatus {
    /** It does not run the agent yet. */
    BOOTING,
    /** It runs, or has a status that this version does not know. */
    RUNNING,
    FAILED
  }

  /**
   * A machine in the cloud's list.
   *
   * @param address null until the machine has one
   */
  public record ListedMachine(
      String name,
      String address,
      String type,
      String zone,
      boolean spot,
      MachineStatus status,
      Duration age) {}

  /** A page of the machine list; {@code more} when further pages follow. */
  public record Page(List<ListedMachine> machines, boolean hasMore) {}

  /** Reads the machine types that can be rented. */
  public static List<MachineType> parseTypes(byte[] body) throws MalformedMessageException {
    return readTypes(new Fields(Json.parseObject(body)));
  }

  static List<MachineType> readTypes(Fields in) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (Fields type : in.objects("hulls")) {
      List<String> zones = type.textsOrNull("yards");
      types.add(
          new MachineType(
              type.text("sku"),
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
   * A request for machines.
   *
   * @param request the idempotency key: a repeated request rents nothing more
   * @param spot whether the machines are preemptible
   */
  public static byte[] rentalRequest(
      String request, String type, String zone, boolean spot, int count) {
    return Json.bytes(
        Json.object()
            .put("charter", request)
            .put("hull", type)
            .put("yard", zone)
            .put("loaners", spot)
            .put("count", count));
  }

  /** The names of the rented machines; empty when the response has none. */
  public static List<String> parseRentedNames(byte[] body) throws MalformedMessageException {
    List<String> names = new Fields(Json.parseObject(body)).textsOrNull("hosts");
    return names == null ? List.of() : names;
  }

  /** A request that returns machines. */
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
              item.text("ref"),
              item.textOr("addr", null),
              item.text("hull"),
              item.text("yard"),
              item.boolOr("loaners", false),
              switch (item.text("status")) {
                case "booting" -> MachineStatus.BOOTING;
                case "failed" -> MachineStatus.FAILED;
                default -> MachineStatus.RUNNING;
              },
              item.seconds("age_s")));
    }
    return new Page(machines, in.boolOr("truncated", false));
  }
}
