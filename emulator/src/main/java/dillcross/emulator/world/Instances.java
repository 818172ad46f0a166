package dillcross.emulator.world;

import dillcross.emulator.wire.Host;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All sidecars. */
final class Instances {
  private final List<Instance> all = new ArrayList<>();
  private final Map<Host, Instance> byHost = new HashMap<>();

  Instances(World world, Directory list) {
    for (int i = 0; i < world.scenario().sidecars().count(); i++) {
      Instance one = new Instance(world, list, i);
      all.add(one);
      byHost.put(one.host, one);
    }
  }

  List<Instance> all() {
    return all;
  }

  String process(Host host) {
    Instance one = byHost.get(host);
    return one == null ? host.toString() : one.process();
  }

  /** Of those that run. */
  List<String> processes() {
    return all.stream().filter(Instance::running).map(Instance::process).toList();
  }

  List<Instance> named(String target) {
    return all.stream().filter(i -> target.equals("all") || target.equals(i.name)).toList();
  }
}
