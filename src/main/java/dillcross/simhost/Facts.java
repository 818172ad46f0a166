package dillcross.simhost;

import dillcross.Logic;
import dillcross.model.Category;
import dillcross.model.ColdRule;
import dillcross.model.Effect;
import dillcross.model.Group;
import dillcross.model.PushRule;
import dillcross.model.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The path=value pairs an instance starts with; unknown ones are skipped, absent ones get a careful default. */
final class Facts {
    private final Map<String, String> values = new HashMap<>();
    private final Fields source;

    Facts(Fields line) {
        source = line;
        while (line.more()) {
            String pair = line.textOrNull();
            int cut = pair == null ? -1 : pair.indexOf('=');
            if (cut > 0) {
                values.put(pair.substring(0, cut), pair.substring(cut + 1));
            }
        }
    }

    Logic instance(long seed) {
        List<Category> categories = new ArrayList<>();
        for (int i = 0; i < number("categories.count", 0); i++) {
            String at = "categories." + i + ".";
            categories.add(new Category(text(at + "name", "unnamed"), effect(text(at + "effect", "")),
                    group(text(at + "key_scope", "")), micros(at + "window_ms", 0),
                    Math.max(1, micros(at + "target_latency_ms", 1000)), number(at + "benefit", 1)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < number("tenants.count", 0); i++) {
            String at = "tenants." + i + ".";
            tenants.add(new Tenant(text(at + "name", "unnamed"), number(at + "quota_per_s", 0)));
        }
        var cold = new ColdRule(number("rules.start_capacity", 0.1), micros("rules.warm_up_ms", 30_000),
                number("rules.fall_multiple", 2), Math.max(1, micros("rules.fall_ms", 1000)));
        var pushes = new PushRule((int) number("limits.max_pushes", 1), flag("limits.may_duplicate"),
                flag("limits.cancel"));
        return new Logic(seed, text("locality", ""), (int) number("me", 0),
                (int) number("balancers", 1), categories, tenants, cold, pushes,
                text("benefit_basis", "request").equals("work"),
                text("discovery", "subscribe").equals("subscribe"), micros("rules.ask_within_ms", 5000),
                flag("limits.retry_after") ? micros("limits.max_retry_after_ms", 0) : 0,
                number("prices.cross_zone", 0));
    }

    /** What is not known to be harmless is taken to be harmful. */
    private static Effect effect(String name) {
        return switch (name) {
            case "idempotent" -> Effect.REDELIVERABLE;
            case "deduplicated" -> Effect.DEDUPLICATED;
            default -> Effect.AT_MOST_ONCE;
        };
    }

    private static Group group(String name) {
        return switch (name) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            default -> Group.CELL;
        };
    }

    private String text(String path, String ifAbsent) {
        String value = values.get(path);
        return value == null || value.isEmpty() || value.equals("-") ? ifAbsent : value;
    }

    private boolean flag(String path) {
        String value = text(path, "false");
        return value.equals("true") || value.equals("1");
    }

    private double number(String path, double ifAbsent) {
        String value = text(path, null);
        try {
            return value == null ? ifAbsent : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw source.malformed("not a number: " + path + "=" + value, e);
        }
    }

    private long micros(String path, double ifAbsentMs) {
        return Math.round(number(path, ifAbsentMs) * 1000);
    }
}
