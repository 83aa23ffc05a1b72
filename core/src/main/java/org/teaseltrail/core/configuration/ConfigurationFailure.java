package org.teaseltrail.core.configuration;

/** Says why a change is against the rules of the configuration. Nothing of it was applied. */
public sealed interface ConfigurationFailure {

  /** The change has no item. */
  record EmptyChange() implements ConfigurationFailure {}

  /**
   * An item removes or drains what does not exist.
   *
   * @param entity what is missing
   */
  record NotFound(EntityRef entity) implements ConfigurationFailure {}

  /**
   * An item refers to what does not exist.
   *
   * @param from what refers
   * @param missing what is missing
   */
  record MissingReference(EntityRef from, EntityRef missing) implements ConfigurationFailure {}

  /**
   * An item removes what another part still needs.
   *
   * @param entity what was to be removed
   * @param usedBy what needs it
   */
  record InUse(EntityRef entity, EntityRef usedBy) implements ConfigurationFailure {}

  /**
   * Two routes lead the same target, or two customers hold the same API key.
   *
   * @param entity one of the two
   * @param other the other
   */
  record Duplicate(EntityRef entity, EntityRef other) implements ConfigurationFailure {}

  /**
   * A value is out of range.
   *
   * @param entity what holds the value
   * @param rule the rule it breaks
   */
  record InvalidValue(EntityRef entity, ValueRule rule) implements ConfigurationFailure {}
}
