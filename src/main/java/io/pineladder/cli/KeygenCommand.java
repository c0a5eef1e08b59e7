package io.pineladder.cli;

import io.pineladder.delivery.WebhookSignature;
import java.security.SecureRandom;
import java.util.Base64;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/** {@code pineladder keygen}: prints a new key for the controllers, or a new signing secret. */
final class KeygenCommand {
  private static final int KEY_BYTES = 32;

  private KeygenCommand() {}

  static CommandSpec spec() {
    CommandSpec spec =
        CommandSpec.create()
            .name("keygen")
            .mixinStandardHelpOptions(true)
            .addOption(
                OptionSpec.builder("--secret")
                    .description(
                        "print a subscriber's signing secret instead of the controllers' key")
                    .build());
    spec.usageMessage().description("Prints a new key of 32 random bytes in Base64.");
    return spec;
  }

  static int run(ParseResult parsed) {
    byte[] key = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(key);
    System.out.println(
        (parsed.hasMatchedOption("--secret") ? WebhookSignature.SECRET_PREFIX : "")
            + Base64.getEncoder().encodeToString(key));
    return Main.EXIT_OK;
  }
}
