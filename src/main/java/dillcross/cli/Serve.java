package dillcross.cli;

import dillcross.config.FaultyKey;
import dillcross.config.Given;
import dillcross.net.Node;
import dillcross.net.Rehearsal;
import dillcross.net.Roster;
import dillcross.sidecar.Core;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;

/** Puts the parts of one sidecar together and runs it until it is told to stop. */
final class Serve {
    private final Given given;

    Serve(Path file, Map<String, String> environment) {
        Map<String, String> named = new HashMap<>();
        environment.forEach((key, value) -> {
            if (key.startsWith("NODE_")) {
                named.put(key.substring("NODE_".length()).toLowerCase(java.util.Locale.ROOT), value);
            }
        });
        if (file == null || file.toString().isEmpty()) {
            throw new FaultyKey("NODE_CONFIG", "is missing");
        }
        given = Given.file(file, named);
    }

    int run(boolean check) throws IOException, InterruptedException {
        Given settings = given.below("settings");
        LongSupplier clock = clock();
        Core core = new Core(settings.instance(given.seed()));
        if (!given.below("known").tree().isEmpty()) {
            Roster known = known();
            core.list(clock.getAsLong(), known.version(), true, known.entries(), false);
        }
        Node node = new Node(core, clock, settings.categories(), settings.mostTtlUs(), given.needed("discovery"),
                settings.connectUs(), settings.keepUs(), given.descriptors());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                node.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stop"));
        Rehearsal.run(settings.instance(0), settings.categories());
        node.start(listen());
        node.awaitReady();
        if (!check) {
            new CountDownLatch(1).await(); // the end comes by a signal
        }
        return 0;
    }

    private Roster known() {
        try {
            return Roster.of(given.below("known").tree());
        } catch (IllegalArgumentException e) {
            throw new FaultyKey("known", e.getMessage());
        }
    }

    private InetSocketAddress listen() throws IOException {
        String address = given.needed("listen");
        int colon = address.lastIndexOf(':');
        try {
            return new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
                    Integer.parseInt(address.substring(colon + 1)));
        } catch (IOException | RuntimeException e) {
            throw new FaultyKey("listen", "not an address and port: " + address);
        }
    }

    /** Whole microseconds since 1970, as the list counts starts, that never go back. */
    private static LongSupplier clock() {
        long startUs = System.currentTimeMillis() * 1000;
        long startNs = System.nanoTime();
        return () -> startUs + (System.nanoTime() - startNs) / 1000;
    }
}
