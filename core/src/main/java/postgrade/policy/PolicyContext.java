package postgrade.policy;

import java.util.SplittableRandom;
import postgrade.policy.api.JobConstraints;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;

/**
 * The shared dependencies of the policy's components: the current settings and constraints, the
 * receiver of actions and the random generator.
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
