package io.pineladder.cli;

import io.pineladder.ControllerNode;
import io.pineladder.admin.Metrics;
import io.pineladder.api.RequestRouter;
import io.pineladder.delivery.DeliveryContext;
import io.pineladder.delivery.SecretCipher;
import io.pineladder.model.Settings;
import io.pineladder.net.AsyncHttpClient;
import io.pineladder.net.ConnectionLimiter;
import io.pineladder.net.OutboundHttpClient;
import io.pineladder.net.UndertowHttpClient;
import io.pineladder.net.XnioEventLoop;
import io.pineladder.snapshot.SnapshotDirectory;
import io.pineladder.wire.SettingsReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Entry point of a controller process: options, then the settings file. Deployments start this
 * class rather than {@link Main}: the CDS archive cannot hold picocli's classes because of their
 * class-file version, and loading them would take a large part of the start-up time on nodes with a
 * fraction of a core.
 */
public final class Controller {
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  static final String DELIVERY_OPTION = "--delivery";
  static final String SNAPSHOTS_OPTION = "--snapshots";
  private static final Set<String> OPTION_NAMES = Set.of(DELIVERY_OPTION, SNAPSHOTS_OPTION);

  /**
   * Options of a controller that are not in the settings file.
   *
   * @param deliveryKey the file with the key that encrypts signing secrets; null disables the
   *     delivery of notifications
   * @param snapshots the directory for snapshots of the records; null disables snapshots
   */
  record ServeOptions(Path deliveryKey, Path snapshots) {
    static final ServeOptions NONE = new ServeOptions(null, null);
  }

  private Controller() {}

  /**
   * Starts a controller; exits with a nonzero code if that fails, and keeps running otherwise.
   *
   * @param args {@code [--delivery KEYFILE] [--snapshots DIR] SETTINGS}
   */
  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    Map<String, Path> options = new HashMap<>();
    int index = 0;
    for (; index + 1 < args.length && OPTION_NAMES.contains(args[index]); index += 2) {
      options.put(args[index], Path.of(args[index + 1]));
    }
    if (index + 1 != args.length) {
      System.err.println("usage: Controller [--delivery KEYFILE] [--snapshots DIR] SETTINGS");
      System.exit(EXIT_USAGE);
    }
    int code =
        serve(
            Path.of(args[index]),
            new ServeOptions(options.get(DELIVERY_OPTION), options.get(SNAPSHOTS_OPTION)));
    if (code >= 0) {
      System.exit(code);
    }
  }

  static void configureLogging(String level) {
    String logLevel = level == null || level.isBlank() ? "info" : level.toLowerCase(Locale.ROOT);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.io.pineladder", logLevel);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.jboss.logging.provider", "slf4j");
  }

  /**
   * Starts a controller with a settings file.
   *
   * @return the exit code, or a negative value when the controller is running
   */
  static int serve(Path file, ServeOptions options) {
    Logger log = LoggerFactory.getLogger(Controller.class);
    Settings settings;
    try {
      settings = SettingsReader.read(file);
    } catch (IOException | SettingsReader.BadSettingsException e) {
      log.error("Settings not read: file={} error=\"{}\"", file, e.getMessage());
      return EXIT_USAGE;
    }
    try {
      start(settings, options);
      return -1;
    } catch (IOException | RuntimeException e) {
      log.error("Start failed: error=\"{}\"", e.getMessage(), e);
      return EXIT_FAILURE;
    }
  }

  /** The traffic class of a connection to the user-facing API, by the requested path. */
  private static ConnectionLimiter.TrafficClass apiTrafficClass(String path) {
    return switch (Metrics.Operation.of("POST", path)) {
      case REPORT -> ConnectionLimiter.TrafficClass.REPORTS;
      case READY -> ConnectionLimiter.TrafficClass.ARRIVING;
      default -> ConnectionLimiter.TrafficClass.USERS;
    };
  }

  /** The traffic class of an outgoing connection, by its address. */
  private static ConnectionLimiter.TrafficClass trafficClass(Settings settings, String address) {
    if (address.equals(settings.storeAddress()) || address.equals(settings.cloudAddress())) {
      return ConnectionLimiter.TrafficClass.SERVICES;
    }
    boolean isPeer = settings.peers().stream().anyMatch(p -> p.address().equals(address));
    return isPeer ? ConnectionLimiter.TrafficClass.PEERS : ConnectionLimiter.TrafficClass.ORDERS;
  }

  private static DeliveryContext createDeliveryContext(
      Settings settings, XnioEventLoop eventLoop, Path keyFile) throws IOException {
    Set<String> clusterHosts = new LinkedHashSet<>();
    Stream.concat(
            Stream.of(
                settings.apiAddress(),
                settings.clusterAddress(),
                settings.storeAddress(),
                settings.cloudAddress()),
            settings.peers().stream().map(Settings.Peer::address))
        .forEach(address -> clusterHosts.add(address.substring(0, address.lastIndexOf(':'))));
    DeliveryContext delivery =
        new DeliveryContext(
            eventLoop,
            SecretCipher.read(keyFile),
            clusterHosts,
            settings.coreShare(),
            eventLoop
                .connectionLimiter()
                .usage()
                .get(ConnectionLimiter.TrafficClass.NOTICES)
                .maxOpen());
    delivery.setOutboundClient(new OutboundHttpClient(eventLoop, delivery::allows));
    return delivery;
  }

  /** Starts a controller, which runs on the returned event loop's thread from then on. */
  static XnioEventLoop start(Settings settings, ServeOptions options) throws IOException {
    XnioEventLoop eventLoop =
        new XnioEventLoop(settings.maxSockets(), settings.workerTimes().heartbeatInterval());
    AsyncHttpClient httpClient =
        new UndertowHttpClient(eventLoop, address -> trafficClass(settings, address));
    byte[] nonce = new byte[12];
    RandomGenerator.of("SecureRandom").nextBytes(nonce);
    ControllerNode node =
        new ControllerNode(
            settings,
            eventLoop,
            httpClient,
            HexFormat.of().formatHex(nonce),
            options.deliveryKey == null
                ? null
                : createDeliveryContext(settings, eventLoop, options.deliveryKey),
            options.snapshots == null
                ? null
                : new SnapshotDirectory(
                    options.snapshots.resolve(settings.controllerName()), eventLoop),
            eventLoop);
    Metrics metrics = new Metrics();
    metrics.setConnectionLimiter(eventLoop.connectionLimiter());
    metrics.setInboundScheduler(eventLoop.inboundScheduler());
    RequestRouter router = new RequestRouter(node, metrics);
    eventLoop.serve(
        new XnioEventLoop.Listener(
            settings.apiAddress(),
            router::handle,
            ConnectionLimiter.TrafficClass.ARRIVING,
            Controller::apiTrafficClass));
    eventLoop.serve(
        new XnioEventLoop.Listener(
            settings.clusterAddress(),
            router::handleCluster,
            ConnectionLimiter.TrafficClass.PEERS,
            path -> ConnectionLimiter.TrafficClass.PEERS));
    eventLoop.execute(node::start);
    return eventLoop;
  }
}
