package org.teaseltrail.load.prepare;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.teaseltrail.load.prepare.ConfigurationChange.CustomerItem;
import org.teaseltrail.load.prepare.ConfigurationChange.Item;
import org.teaseltrail.load.prepare.ConfigurationChange.ModelItem;
import org.teaseltrail.load.prepare.ConfigurationChange.PoolItem;
import org.teaseltrail.load.prepare.ConfigurationChange.RouteItem;
import org.teaseltrail.load.prepare.ConfigurationChange.ServiceItem;
import org.teaseltrail.load.prepare.ConfigurationChange.TierItem;
import org.teaseltrail.load.prepare.ConfigurationChange.UpstreamItem;
import org.teaseltrail.load.workload.CustomerSpec;
import org.teaseltrail.load.workload.Deployment;
import org.teaseltrail.load.workload.EngineSpec;

/**
 * Writes a folder with everything needed to start a deployment on the loopback interface: settings,
 * secrets, API keys, the configuration change ({@code apply.json}) and the list of programs to
 * start ({@code programs}, each line with a name, a program and its arguments).
 */
public final class DeploymentFolderWriter {

  private static final int SECRET_BYTES = 24;
  private static final long MAX_WAITING_MS = 30_000;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
          .build();

  private final Deployment deployment;
  private final Path folder;
  private final LoopbackAddresses ports;
  private final int members;
  private final int entries;
  private final int services;
  private final SecureRandom random = new SecureRandom();
  private final List<String> programs = new ArrayList<>();
  private final List<Item> changes = new ArrayList<>();

  /**
   * Creates the writer.
   *
   * @param deployment the deployment to start
   * @param folder the target folder; created if missing
   * @param basePort first of a hundred consecutive loopback ports
   * @param members number of members of the control group
   * @param entries number of entry VMs
   * @param services number of processes of the plain service
   */
  public DeploymentFolderWriter(
      Deployment deployment, Path folder, int basePort, int members, int entries, int services) {
    this.deployment = deployment;
    this.folder = folder.toAbsolutePath();
    this.ports = new LoopbackAddresses(basePort);
    this.members = members;
    this.entries = entries;
    this.services = services;
  }

  /** Writes all files. */
  public void write() throws IOException {
    Files.createDirectories(folder);
    writeControls();
    writeEntries();
    writeTiersAndCustomers();
    writeEngines();
    writeServices();
    Files.write(folder.resolve("programs"), programs);
    Files.writeString(
        folder.resolve("operators"), joined(members, ports::operators).replace(" ", "") + "\n");
    String change =
        MAPPER
            .writerWithDefaultPrettyPrinter()
            .writeValueAsString(new ConfigurationChange("deployment", changes));
    Files.writeString(folder.resolve("apply.json"), change + "\n");
  }

  private void writeControls() throws IOException {
    for (int n = 1; n <= members; n++) {
      String name = "control-" + n;
      writeSettings(
          name,
          "[vm]",
          "id = " + name,
          "region = " + deployment.region(),
          "listen = " + ports.control(n),
          "listen_operators = " + ports.operators(n),
          "listen_metrics = " + ports.metrics(n),
          "[group]",
          "id = " + deployment.name(),
          "members = " + joined(members, i -> "control-" + i + "@" + ports.control(i)),
          "operator_addresses = " + joined(members, i -> "control-" + i + "@" + ports.operators(i)),
          "[data]",
          "folder = " + folder.resolve(name));
      addProgram(name, "teaseltrail-control", n == 1 ? " --new-group" : " --join");
    }
  }

  private void writeEntries() throws IOException {
    for (int n = 1; n <= entries; n++) {
      String name = "entry-" + n;
      writeSettings(
          name,
          "[vm]",
          "id = " + name,
          "data_center = " + deployment.engines().get(0).dataCenter(),
          "listen = " + ports.entry(n),
          "[control]",
          "members = " + joined(members, i -> "control-" + i + "@" + ports.control(i)),
          "[shutdown]",
          "balancer_delay = 200ms");
      addProgram(name, "teaseltrail-entry", "");
    }
  }

  private void writeTiersAndCustomers() throws IOException {
    deployment.tiers().forEach(t -> changes.add(Item.of(new TierItem(t.rank(), t.toString()))));
    for (CustomerSpec customer : deployment.customers()) {
      String key = writeSecret("key-" + customer.id());
      changes.add(
          Item.of(
              new CustomerItem(
                  customer.id().value(),
                  customer.tier().rank(),
                  List.of(sha256(key)),
                  customer.weight())));
    }
  }

  private void writeEngines() throws IOException {
    String pool = deployment.pool().value();
    changes.add(Item.of(new PoolItem(pool, MAX_WAITING_MS)));
    ModelItem model = new ModelItem(deployment.model().value(), deployment.version().value());
    changes.add(Item.of(new RouteItem(pool, model, null, pool)));
    int n = 0;
    for (EngineSpec engine : deployment.engines()) {
      n++;
      writeUpstream(
          engine.id().value(),
          n,
          engine.dataCenter().value(),
          pool,
          "[engine]",
          "models = " + deployment.model() + ":" + deployment.version(),
          "step = " + engine.stepMs() + "ms",
          "step_per_sequence = " + engine.stepPerSequenceMs() + "ms",
          "prefill_per_token = " + engine.prefillPerTokenMs() + "ms",
          "max_batch = " + engine.maxBatch(),
          "cache_tokens = " + engine.cacheTokens());
    }
  }

  private void writeServices() throws IOException {
    String service = deployment.service().value();
    changes.add(Item.of(new PoolItem(service, MAX_WAITING_MS)));
    ServiceItem target = new ServiceItem(service, List.of("POST"));
    changes.add(Item.of(new RouteItem(service, null, target, service)));
    String dataCenter = deployment.engines().get(0).dataCenter().value();
    for (int n = 1; n <= services; n++) {
      int number = deployment.engines().size() + n;
      writeUpstream(
          service + "-" + n, number, dataCenter, service, "[service]", "name = " + service);
    }
  }

  private void writeUpstream(
      String id, int number, String dataCenter, String pool, String... settings)
      throws IOException {
    List<String> lines =
        new ArrayList<>(
            List.of(
                "[upstream]",
                "id = " + id,
                "listen = " + ports.upstream(number),
                "data_center = " + dataCenter,
                "entries = " + joined(entries, ports::entry),
                "secret_file = " + folder.resolve("secret-" + id)));
    lines.addAll(List.of(settings));
    writeSettings(id, lines.toArray(String[]::new));
    String secret = writeSecret("secret-" + id);
    addProgram(id, "teaseltrail-standin", "");
    changes.add(Item.of(new UpstreamItem(id, pool, sha256(secret), true)));
  }

  private void writeSettings(String name, String... lines) throws IOException {
    Files.write(folder.resolve(name + ".ini"), List.of(lines));
  }

  private void addProgram(String name, String program, String arguments) {
    programs.add(name + " " + program + " --settings " + folder.resolve(name + ".ini") + arguments);
  }

  private String writeSecret(String name) throws IOException {
    byte[] bytes = new byte[SECRET_BYTES];
    random.nextBytes(bytes);
    String secret = HexFormat.of().formatHex(bytes);
    Path file = folder.resolve(name);
    Files.deleteIfExists(file);
    var ownerOnly = PosixFilePermissions.fromString("rw-------");
    Files.createFile(file, PosixFilePermissions.asFileAttribute(ownerOnly));
    Files.writeString(file, secret);
    return secret;
  }

  private static String joined(int count, IntFunction<String> address) {
    return String.join(", ", IntStream.rangeClosed(1, count).mapToObj(address).toList());
  }

  private static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
