package org.teaseltrail.wire;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.jsontype.TypeResolverBuilder;
import com.fasterxml.jackson.databind.jsontype.impl.StdTypeResolverBuilder;
import java.util.ArrayList;
import java.util.List;

/**
 * Jackson introspector that serializes sealed interfaces polymorphically with the simple names of
 * their permitted records as type ids, so that the message types need no annotations.
 */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {

  private static final long serialVersionUID = 1L;

  @Override
  public TypeResolverBuilder<?> findTypeResolver(
      MapperConfig<?> config, AnnotatedClass annotated, JavaType baseType) {
    if (!isSealedInterface(annotated.getRawType())) {
      return super.findTypeResolver(config, annotated, baseType);
    }
    return new StdTypeResolverBuilder()
        .init(JsonTypeInfo.Id.NAME, null)
        .inclusion(JsonTypeInfo.As.WRAPPER_ARRAY);
  }

  @Override
  public List<NamedType> findSubtypes(Annotated annotated) {
    Class<?> type = annotated.getRawType();
    if (!isSealedInterface(type)) {
      return super.findSubtypes(annotated);
    }
    List<NamedType> subtypes = new ArrayList<>();
    collectPermittedRecords(type, subtypes);
    return subtypes;
  }

  static boolean isSealedInterface(Class<?> type) {
    return type.isInterface() && type.isSealed();
  }

  private static void collectPermittedRecords(Class<?> type, List<NamedType> subtypes) {
    for (Class<?> permitted : type.getPermittedSubclasses()) {
      if (isSealedInterface(permitted)) {
        collectPermittedRecords(permitted, subtypes);
      } else {
        subtypes.add(new NamedType(permitted, permitted.getSimpleName()));
      }
    }
  }
}
