package dillcross.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * News still to be told, each some times, the least told first and of these the newest. A newer
 * word on the same matter takes the older one's place, so there are no more than matters.
 */
final class Rumours {
  private static final class Rumour {
    final Object matter;
    final Object word; // a claim or a payload
    final int size;
    final long order;
    int told;

    Rumour(Object matter, Object word, int size, long order) {
      this.matter = matter;
      this.word = word;
      this.size = size;
      this.order = order;
    }
  }

  private final Map<Object, Rumour> byMatter = new HashMap<>();
  private final TreeSet<Rumour> next =
      new TreeSet<>(Comparator.<Rumour>comparingInt(r -> r.told).thenComparingLong(r -> -r.order));
  private long order;

  void add(Claim claim) {
    put(claim.name(), claim, claim.size());
  }

  void add(Payload payload) {
    put(List.of(payload.origin(), payload.type()), payload, payload.size());
  }

  private void put(Object matter, Object word, int size) {
    drop(matter);
    Rumour rumour = new Rumour(matter, word, size, order++);
    byMatter.put(matter, rumour);
    next.add(rumour);
  }

  void forget(String name) {
    drop(name);
    for (int type = 0; type < Payload.MOST_TYPES; type++) {
      drop(List.of(name, type));
    }
  }

  private void drop(Object matter) {
    Rumour old = byMatter.remove(matter);
    if (old != null) {
      next.remove(old);
    }
  }

  int waiting() {
    return next.size();
  }

  /** Takes what fits into that many bytes; what was told often enough is dropped. */
  void take(int room, int times, List<Claim> claims, List<Payload> payloads) {
    int left = room;
    List<Rumour> taken = new ArrayList<>();
    for (Rumour rumour : next) {
      if (left < Payload.MOST_BYTES && rumour.size > left && taken.size() > 0) {
        break; // hardly anything fits any more
      }
      if (rumour.size <= left) {
        left -= rumour.size;
        taken.add(rumour);
      }
    }
    for (Rumour rumour : taken) {
      next.remove(rumour);
      if (++rumour.told < times) {
        next.add(rumour);
      } else {
        byMatter.remove(rumour.matter);
      }
      if (rumour.word instanceof Claim claim) {
        claims.add(claim);
      } else {
        payloads.add((Payload) rumour.word);
      }
    }
  }
}
