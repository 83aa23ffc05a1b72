package org.teaseltrail.core.configuration;

/** Result of applying a change to a configuration. */
public sealed interface ConfigurationResult {

  /**
   * The change is valid.
   *
   * @param configuration the new configuration, at the next revision
   */
  record Changed(Configuration configuration) implements ConfigurationResult {}

  /**
   * The change violates a rule and is rejected.
   *
   * @param failure the violated rule
   */
  record Refused(ConfigurationFailure failure) implements ConfigurationResult {}
}
