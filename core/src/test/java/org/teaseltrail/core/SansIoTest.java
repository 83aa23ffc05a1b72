package org.teaseltrail.core;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Collection;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Checks that the core module performs no file or network I/O, reads no clock, starts no thread and
 * uses no unseeded random numbers, iteration orders that differ between processes or functions
 * whose last bits differ between processors, and that it depends on the JDK only.
 */
@AnalyzeClasses(
    packages = "org.teaseltrail.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class SansIoTest {

  /** Functions of {@link Math} that may differ in the last bit; {@link StrictMath} has them too. */
  private static final String DIFFERING_FUNCTIONS =
      "a?(sin|cos|tan)h?|atan2|cbrt|expm?1?|log(10|1p)?|pow|hypot";

  @ArchTest
  static final ArchRule DEPENDS_ON_THE_JDK_ONLY =
      classes()
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("java..", "org.teaseltrail.core..");

  @ArchTest
  static final ArchRule USES_NO_FILE_OR_NETWORK_IO =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..", "java.nio.file..", "java.nio.channels..", "java.io.File")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.io.File");

  @ArchTest
  static final ArchRule STARTS_NO_THREAD =
      noClasses()
          .should()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class)
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching("java\\.util\\.concurrent\\.(Executor.*|CompletableFuture|Timer.*)")
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching("java\\.util\\.Timer.*");

  @ArchTest
  static final ArchRule READS_NO_CLOCK =
      noClasses()
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Clock.class)
          .orShould()
          .callMethodWhere(
              com.tngtech.archunit.core.domain.JavaCall.Predicates.target(
                  com.tngtech.archunit.core.domain.properties.HasName.Predicates.name("now")));

  @ArchTest
  static final ArchRule USES_NO_UNSEEDED_RANDOMNESS =
      noClasses()
          .should()
          .callConstructor(Random.class)
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(SecureRandom.class)
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(ThreadLocalRandom.class)
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .callMethod(UUID.class, "randomUUID");

  @ArchTest
  static final ArchRule ITERATES_IN_THE_SAME_ORDER_IN_EVERY_PROCESS =
      noClasses()
          .should()
          .callMethod(Map.class, "copyOf", Map.class)
          .orShould()
          .callMethod(Set.class, "copyOf", Collection.class);

  /** Guards against a seeded run that differs between processors in a last bit, and then in all. */
  @ArchTest
  static final ArchRule COMPUTES_THE_SAME_ON_EVERY_PROCESSOR =
      noClasses()
          .should()
          .callMethodWhere(
              target(owner(type(Math.class))).and(target(nameMatching(DIFFERING_FUNCTIONS))));
}
