package org.teaseltrail.core.configuration;

/** Reason why a configuration change is rejected. No part of the change is applied. */
public sealed interface ConfigurationFailure {

  /** The change has no item. */
  record EmptyChange() implements ConfigurationFailure {}

  /**
   * An item removes or drains an entity that does not exist.
   *
   * @param entity the missing entity
   */
  record NotFound(EntityRef entity) implements ConfigurationFailure {}

  /**
   * An item refers to an entity that does not exist.
   *
   * @param from the entity with the reference
   * @param missing the missing entity
   */
  record MissingReference(EntityRef from, EntityRef missing) implements ConfigurationFailure {}

  /**
   * An item removes an entity that another one still refers to.
   *
   * @param entity the entity to be removed
   * @param usedBy the entity that refers to it
   */
  record InUse(EntityRef entity, EntityRef usedBy) implements ConfigurationFailure {}

  /**
   * Two routes have the same target, or two customers have the same API key.
   *
   * @param entity one of the two
   * @param other the other
   */
  record Duplicate(EntityRef entity, EntityRef other) implements ConfigurationFailure {}

  /**
   * A value is invalid.
   *
   * @param entity the entity that contains the value
   * @param rule the rule that the value violates
   */
  record InvalidValue(EntityRef entity, ValueRule rule) implements ConfigurationFailure {}
}
