package postgrade.calendar.oracle;

/**
 * A fault injected into the oracle. The comparison must detect the difference it makes, else it
 * proves nothing.
 */
enum Mutation {
    NONE,
    SECOND_OF_FOLD,
    OFFSET_AFTER_GAP,
    NOMINAL_AS_EXACT,
    LAST_MILLISECOND_OPEN,
    COUNT_WITHOUT_FIRST,
    UNTIL_EXCLUDED,
    LEFT_OUT_KEPT,
    MOVED_KEPT,
    WEEKS_FROM_SUNDAY,
    LEAP_DAY_AS_MARCH,
    POSITIONS_FROM_FIRST,
    NO_ERROR,
    STARTS_IN_ITS_BEGIN
}
