package postgrade.gateway;

/** What the gateway needs of the side that speaks to providers. */
public interface Providers {

    /** Starts the call. How it ends without a call-back is told to {@link Gateway#ended}. */
    Handle send(InvokerCall call);

    /** Asks one provider whether it is well; the answer goes to {@link Gateway#probed}. */
    void probe(String providerId);

    /** A call on the wire. */
    interface Handle {
        /**
         * Gives the call up on the wire. Runs {@code done} as soon as the provider is sure not to
         * begin it or to go on with it as ours; that may be within this method, late, or never if
         * the provider is silent.
         */
        void giveUp(Runnable done);

        /** The call has ended by a call-back; nothing is to be given up. */
        void ended();

        /** Its last byte has been given to the system: the provider may run it. */
        boolean written();

        /**
         * The provider has taken the job, or has been silent on it, so that a call-back may yet
         * come.
         */
        boolean mayReport();
    }
}
