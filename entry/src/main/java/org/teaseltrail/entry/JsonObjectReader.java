package org.teaseltrail.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.teaseltrail.core.id.InvalidIdException;

/**
 * Reads typed fields from a JSON object and refuses the request if a field has the wrong type.
 *
 * @param object the object
 */
record JsonObjectReader(ObjectNode object) {

  /** Refuses unknown fields, so that a misspelled field name isn't ignored silently. */
  JsonObjectReader requireKnownFields(Set<String> known) {
    Iterator<String> names = object.fieldNames();
    while (names.hasNext()) {
      if (!known.contains(names.next())) {
        throw refused("the body has a field that is not known; known are " + known);
      }
    }
    return this;
  }

  <T> T id(String name, Function<String, T> constructor) {
    return optionalId(name, constructor).orElseThrow(() -> refused(name + " is missing"));
  }

  <T> Optional<T> optionalId(String name, Function<String, T> constructor) {
    try {
      return value(name).map(node -> constructor.apply(textOf(name, node)));
    } catch (InvalidIdException e) {
      throw refused(name + ": " + e.getMessage());
    }
  }

  String text(String name) {
    return value(name)
        .map(node -> textOf(name, node))
        .orElseThrow(() -> refused(name + " is missing"));
  }

  private static String textOf(String name, JsonNode node) {
    if (!node.isTextual()) {
      throw refused(name + " must be a text");
    }
    return node.textValue();
  }

  boolean flag(String name, boolean fallback) {
    Optional<JsonNode> node = value(name);
    if (node.isPresent() && !node.get().isBoolean()) {
      throw refused(name + " must be true or false");
    }
    return node.map(JsonNode::booleanValue).orElse(fallback);
  }

  long number(String name, long minValue, long maxValue) {
    return optionalNumber(name, minValue, maxValue)
        .orElseThrow(() -> refused(name + " is missing"));
  }

  Optional<Long> optionalNumber(String name, long minValue, long maxValue) {
    return value(name).map(node -> numberOf(name, node, minValue, maxValue));
  }

  private static long numberOf(String name, JsonNode node, long least, long greatest) {
    boolean whole = node.isIntegralNumber() && node.canConvertToLong();
    if (!whole || node.longValue() < least || node.longValue() > greatest) {
      throw refused(name + " must be a whole number from " + least + " to " + greatest);
    }
    return node.longValue();
  }

  double decimal(String name) {
    JsonNode node = value(name).orElseThrow(() -> refused(name + " is missing"));
    if (!node.isNumber() || !Double.isFinite(node.doubleValue()) || node.doubleValue() < 0) {
      throw refused(name + " must be a number of zero or more");
    }
    return node.doubleValue();
  }

  JsonObjectReader fields(String name) {
    JsonNode node = value(name).orElseThrow(() -> refused(name + " is missing"));
    return fieldsOf(name, node);
  }

  private static JsonObjectReader fieldsOf(String name, JsonNode node) {
    if (node instanceof ObjectNode nested) {
      return new JsonObjectReader(nested);
    }
    throw refused(name + " must be an object");
  }

  List<JsonObjectReader> objects(String name) {
    List<JsonObjectReader> objects = new ArrayList<>();
    elements(name).forEach(node -> objects.add(fieldsOf(name, node)));
    return objects;
  }

  List<String> texts(String name) {
    List<String> texts = new ArrayList<>();
    elements(name).forEach(node -> texts.add(textOf(name, node)));
    return texts;
  }

  List<Long> numbers(String name) {
    List<Long> numbers = new ArrayList<>();
    elements(name)
        .forEach(node -> numbers.add(numberOf(name, node, Long.MIN_VALUE, Long.MAX_VALUE)));
    return numbers;
  }

  private JsonNode elements(String name) {
    JsonNode node = value(name).orElseGet(object::arrayNode);
    if (!node.isArray()) {
      throw refused(name + " must be a list");
    }
    return node;
  }

  private Optional<JsonNode> value(String name) {
    return Optional.ofNullable(object.get(name)).filter(node -> !node.isNull());
  }

  private static RefusedRequestException refused(String detail) {
    return new RefusedRequestException(ProblemKind.MALFORMED_REQUEST, detail);
  }
}
