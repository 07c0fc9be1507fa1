package postgrade.calendar.oracle;

/**
 * A fault put into the oracle: what differs by it must be found, else the comparison proves
 * nothing.
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
