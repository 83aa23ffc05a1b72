package org.teaseltrail.standin;

import net.sourceforge.argparse4j.inf.Namespace;
import org.teaseltrail.runtime.process.Program;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;
import org.teaseltrail.runtime.settings.Settings;
import org.teaseltrail.runtime.settings.SettingsSpec;
import org.teaseltrail.standin.model.EngineModel;
import org.teaseltrail.standin.model.ServiceModel;

/** Program definition of the simulated upstream: its settings and its start. */
public final class StandinProgram implements Program {

  @Override
  public SettingsSpec spec() {
    return StandinSettings.SPEC;
  }

  @Override
  public RunningProgram start(Settings settings, Namespace arguments) throws ProgramException {
    StandinOptions options = StandinOptions.of(settings, System.currentTimeMillis());
    if (options.engine().isPresent()) {
      EngineModel model = new EngineModel(options.engine().get(), System.nanoTime());
      return new StandinDaemon(options, new SimulatedEngine(model));
    }
    ServiceModel model = new ServiceModel(options.service().orElseThrow(), System.nanoTime());
    return new StandinDaemon(options, new SimulatedService(model));
  }
}
