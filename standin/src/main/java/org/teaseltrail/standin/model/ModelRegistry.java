package org.teaseltrail.standin.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.upstream.ServedModel;

/** Registry of the models that an engine has loaded or is loading. */
final class ModelRegistry {

  private static final long NS_PER_MS = 1_000_000;

  private final List<ServedModel> initial;
  private final long loadNs;
  private final List<ServedModel> loaded = new ArrayList<>();
  private final List<Loading> loading = new ArrayList<>();

  ModelRegistry(List<ServedModel> initial, long loadMs) {
    this.initial = initial;
    this.loadNs = loadMs * NS_PER_MS;
    reset();
  }

  boolean serves(ModelTarget target) {
    return loaded.stream().anyMatch(model -> matches(model, target));
  }

  List<ServedModel> loaded() {
    return List.copyOf(loaded);
  }

  void load(ModelId model, ModelVersion version, long nowNs) {
    loading.add(new Loading(new ServedModel(model, version, Set.of()), nowNs + loadNs));
  }

  /** Adds an adapter immediately; adapters are small, so their load time is not modelled. */
  void loadAdapter(ModelId model, ModelVersion version, AdapterId adapter) {
    for (int i = 0; i < loaded.size(); i++) {
      if (isVersion(loaded.get(i), model, version)) {
        Set<AdapterId> adapters = new HashSet<>(loaded.get(i).adapters());
        adapters.add(adapter);
        loaded.set(i, new ServedModel(model, version, Set.copyOf(adapters)));
      }
    }
  }

  void unload(ModelId model, ModelVersion version) {
    loaded.removeIf(served -> isVersion(served, model, version));
    loading.removeIf(pending -> isVersion(pending.model(), model, version));
  }

  /** Adds the models whose load time is over, and returns whether there were any. */
  boolean advance(long nowNs) {
    boolean changed = false;
    for (Loading pending : List.copyOf(loading)) {
      if (pending.doneNs() <= nowNs) {
        loading.remove(pending);
        ServedModel model = pending.model();
        loaded.removeIf(served -> isVersion(served, model.model(), model.version()));
        loaded.add(model);
        changed = true;
      }
    }
    return changed;
  }

  OptionalLong nextLoadEndNs() {
    return loading.stream().mapToLong(Loading::doneNs).min();
  }

  void reset() {
    loading.clear();
    loaded.clear();
    loaded.addAll(initial);
  }

  private static boolean matches(ServedModel model, ModelTarget target) {
    return isVersion(model, target.model(), target.version())
        && target.adapter().stream().allMatch(model.adapters()::contains);
  }

  private static boolean isVersion(ServedModel served, ModelId model, ModelVersion version) {
    return served.model().equals(model) && served.version().equals(version);
  }

  private record Loading(ServedModel model, long doneNs) {}
}
