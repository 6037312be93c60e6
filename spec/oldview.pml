/*
 * Reads by a proxy that still goes by the view of an ended term, in a group that replicates by itself.
 *
 * Such a group is promoted without waiting for the leases of proxies that have not confirmed the new view. Member 0 leads the first term, member
 * 1 the second one with what it had received. The proxy takes member 0 for the primary throughout. A read that must be current runs in a
 * transaction that only a primary begins, and member 0 refuses once it was replaced. A read that accepts age goes to a member that
 * holds the position of a proof: what a primary answered to a beginning, no longer ago than the accepted age.
 *
 * "old" is how many commits were acknowledged longer ago than the accepted age; a proof is young while it is not. Commits that the
 * promotion rolled back do not count.
 *
 * Bounds: 2 members, 2 terms, logs of at most 4 commits, one proof at a time.
 * Left out: reads of the own session's writes, which add the position of the last write to what a member must hold.
 *
 * Property: a read that must be current sees each commit that was acknowledged before it; one that accepts age sees each old commit.
 *
 * safeguards: UPSTREAM_FENCE TRANSACTION PROOF_AGE HOLDS_PROOF ASKED_TIME
 */

#define LOG 4

byte term[2];
byte number[2];
byte primary = 0;
bool promoted = false;
/* Commits of the first term that the second one kept. */
byte kept = LOG;
byte acknowledged = 0;
byte old = 0;

/* A question for a proof: what was acknowledged when it was sent. */
bool asked = false;
byte acknowledgedAtQuestion;

/* The answer on its way. */
bool answered = false;
byte answeredTerm;
byte answeredNumber;

bool proven = false;
byte provenTerm;
byte provenNumber;
byte acknowledgedAtProof;

#define LEAST(left, right) ((left) < (right) -> (left) : (right))

/* How many of the commits that still count the member holds. */
#define surviving(member) (term[member] == 2 -> number[member] : LEAST(number[member], kept))

#define holdsProof(member) (term[member] > provenTerm || (term[member] == provenTerm && number[member] >= provenNumber))

#ifdef WITHOUT_UPSTREAM_FENCE
#define begins(member) ((member) == 0 || primary == (member))
#else
#define begins(member) (primary == (member))
#endif

#ifdef WITHOUT_TRANSACTION
#define runsCurrent(member) (true)
#else
#define runsCurrent(member) begins(member)
#endif

#ifdef WITHOUT_PROOF_AGE
#define isYoung (true)
#else
#define isYoung (old <= acknowledgedAtProof)
#endif

#ifdef WITHOUT_HOLDS_PROOF
#define mayServe(member) (true)
#else
#define mayServe(member) holdsProof(member)
#endif

#ifdef WITHOUT_ASKED_TIME
#define acknowledgedAtAnswer acknowledged
#else
#define acknowledgedAtAnswer acknowledgedAtQuestion
#endif

inline promote()
{
    d_step {
        promoted = true;
        primary = 1;
        term[1] = 2;
        kept = number[1];
        acknowledged = LEAST(acknowledged, kept);
        old = LEAST(old, kept);
        acknowledgedAtQuestion = LEAST(acknowledgedAtQuestion, kept);
        acknowledgedAtProof = LEAST(acknowledgedAtProof, kept)
    }
}

inline answerQuestion()
{
    d_step {
        answered = true;
        answeredTerm = term[0];
        answeredNumber = number[0]
    }
}

inline takeProof()
{
    d_step {
        asked = false;
        answered = false;
        proven = true;
        provenTerm = answeredTerm;
        provenNumber = answeredNumber;
        acknowledgedAtProof = acknowledgedAtAnswer
    }
}

active proctype Group()
{
    d_step { term[0] = 1; term[1] = 1 }
end:
    do
    :: number[primary] < LOG -> d_step { number[primary]++; acknowledged = number[primary] }
    :: !promoted && number[1] < number[0] -> number[1]++
    :: promoted && (term[0] == 1 || number[0] < number[1]) -> d_step { term[0] = 2; number[0] = number[1] }
    :: old < acknowledged -> old++
    :: !promoted -> promote()
    :: !asked -> d_step { asked = true; acknowledgedAtQuestion = acknowledged }
    :: asked && !answered && begins(0) -> answerQuestion()
    :: asked && !answered && !begins(0) -> asked = false
    :: answered -> takeProof()
    :: runsCurrent(0) -> assert(surviving(0) >= acknowledged)
    :: proven && isYoung && mayServe(0) -> assert(surviving(0) >= old)
    :: proven && isYoung && mayServe(1) -> assert(surviving(1) >= old)
    od
}
