package postgrade.policy;

import java.util.SplittableRandom;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;

/**
 * What all parts of the policy depend on: the settings and constraints in force, where actions go,
 * and random choices.
 */
final class PolicyContext {

    private final PolicyActions actions;
    private final SplittableRandom random;
    private PolicySettings settings;
    private JobConstraints constraints = JobConstraints.NONE;

    PolicyContext(PolicySettings settings, long seed, PolicyActions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    PolicySettings settings() {
        return settings;
    }

    void settings(PolicySettings next) {
        settings = next;
    }

    JobConstraints constraints() {
        return constraints;
    }

    void constraints(JobConstraints next) {
        constraints = next;
    }

    PolicyActions actions() {
        return actions;
    }

    SplittableRandom random() {
        return random;
    }
}
