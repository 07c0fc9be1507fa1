package postgrade.simulation.model;

import java.util.ArrayList;
import java.util.List;

/** A process on a machine of its own: it can be killed, started again, stopped and continued. */
abstract class Node {

    final World world;
    private final String name;
    private Clock clock;
    private boolean up;
    private boolean paused;
    private int life;
    private final List<Runnable> waiting = new ArrayList<>();

    Node(World world, String name) {
        this.world = world;
        this.name = name;
        double rate = 1 + world.random.nextDouble() * 0.02;
        clock = new Clock(world.now(), world.between(0, 1_000_000_000_000L), rate);
        world.add(this);
    }

    final String name() {
        return name;
    }

    final long local() {
        return clock.read(world.now());
    }

    final void drift() {
        clock.run(
                world.now(),
                world.chance(0.5)
                        ? 1 + world.random.nextDouble() * 0.02
                        : world.chance(0.5) ? 1 : 1.02);
    }

    final boolean running() {
        return up && !paused;
    }

    final boolean up() {
        return up;
    }

    final void start() {
        if (!up) {
            up = true;
            life++;
            started();
        }
    }

    final void kill() {
        if (up) {
            world.tell("%s is killed", name);
            up = false;
            paused = false;
            life++;
            waiting.clear();
            killed();
        }
    }

    final void pause() {
        if (running()) {
            world.tell("%s is stopped", name);
            paused = true;
        }
    }

    final void wake() {
        if (up && paused) {
            world.tell("%s continues", name);
            paused = false;
            List<Runnable> all = new ArrayList<>(waiting);
            waiting.clear();
            // Sockets and timers are looked at in any order.
            while (!all.isEmpty()) {
                all.remove(world.random.nextInt(all.size())).run();
            }
        }
    }

    /** It happens in this process now, or once it continues. */
    final void happen(Runnable what) {
        if (!up) {
            return;
        }
        int then = life;
        Runnable ours =
                () -> {
                    if (life == then) {
                        what.run();
                    }
                };
        if (paused) {
            waiting.add(ours);
        } else {
            ours.run();
        }
    }

    /** After so long by its own clock, about, unless it is killed before. */
    final void after(long micros, Runnable what) {
        int then = life;
        world.in(
                micros,
                () -> {
                    if (life == then) {
                        happen(what);
                    }
                });
    }

    final void send(String to, Message message) {
        world.network.send(name, to, message);
    }

    abstract void started();

    abstract void killed();

    abstract void receive(String from, Message message);
}
