package org.teaseltrail.load.workload;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;

/** Reads the deployments that are bundled with the program as resources. */
public final class DeploymentReader {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .addModule(IdDeserializers.module())
          .build();

  private DeploymentReader() {}

  /**
   * Reads a deployment.
   *
   * @param name {@code gopherfield} or {@code cymru}
   * @return the deployment
   * @throws InvalidWorkloadException if there is no deployment with that name or its file is
   *     malformed
   */
  public static Deployment read(String name) {
    try (InputStream in = DeploymentReader.class.getResourceAsStream(name + ".json")) {
      if (in == null) {
        throw new InvalidWorkloadException("unknown deployment " + name);
      }
      return MAPPER.readValue(in, Deployment.class);
    } catch (IOException e) {
      throw new InvalidWorkloadException("deployment " + name + " can't be read", e);
    }
  }
}
