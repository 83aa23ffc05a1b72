package org.teaseltrail.core.configuration;

/** Is what becomes of a change that is applied to a configuration. */
public sealed interface ConfigurationResult {

  /**
   * The change keeps all rules.
   *
   * @param configuration the new configuration, one revision on
   */
  record Changed(Configuration configuration) implements ConfigurationResult {}

  /**
   * The change breaks a rule.
   *
   * @param failure the rule
   */
  record Refused(ConfigurationFailure failure) implements ConfigurationResult {}
}
