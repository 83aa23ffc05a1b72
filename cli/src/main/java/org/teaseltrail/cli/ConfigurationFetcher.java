package org.teaseltrail.cli;

import java.util.Optional;
import org.teaseltrail.api.v1.Configuration;
import org.teaseltrail.api.v1.GetConfigurationRequest;
import org.teaseltrail.api.v1.GetConfigurationResponse;
import org.teaseltrail.runtime.process.ProgramException;

/** Fetches the accepted configuration from the leader. */
final class ConfigurationFetcher {

  private ConfigurationFetcher() {}

  static Configuration fetch(CommandContext context) throws ProgramException {
    return context
        .client()
        .call(
            stub -> stub.getConfiguration(GetConfigurationRequest.getDefaultInstance()),
            (GetConfigurationResponse response) ->
                response.hasNotLeader() ? Optional.of(response.getNotLeader()) : Optional.empty())
        .getConfiguration();
  }
}
