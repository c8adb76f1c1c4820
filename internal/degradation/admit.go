package degradation

import "milletmast/internal/namehash"

// minProtectedShare is the share of the demand's priority weight that must be left unshed for the rest to be shed in full.
const minProtectedShare = 0.1

// Decision is the result of Controller.Admit for one request.
type Decision struct {
	Shed          *ShedRule // rule that sheds the request; nil if it is admitted
	MaxAttempts   int       // 0 for no limit
	DeadlineShare float64   // share of its deadline that the request gets
}

// HashCaller returns a uniform hash of a caller's name, the same at every sidecar.
func HashCaller(name string) uint64 { return namehash.Hash(name) }

// Admit decides on a request of a class. The same callers are shed as long as the ratio does not change. The callers that
// a lower ratio sheds are among those that a higher one sheds, so that callers are admitted again one by one while it falls.
func (c *Controller) Admit(class int, caller uint64) Decision {
	const fractionBits = 53 // of a float64
	decision := Decision{DeadlineShare: 1}
	if c.level > 0 {
		level := &c.ladder[c.level-1]
		decision.MaxAttempts, decision.DeadlineShare = level.MaxAttempts, level.deadlineShare()
	}
	if ratio := c.shedRatio(class); ratio > 0 && float64(caller>>(64-fractionBits))/(1<<fractionBits) < ratio {
		decision.Shed = c.shedRule(class)
	}
	return decision
}

// shedRatio returns the ratio of the callers of a class that are shed now. If almost no demand would remain unshed,
// there is nothing to protect: less is shed, and the queue of the pool decides.
func (c *Controller) shedRatio(class int) float64 {
	return c.nominalRatio(class) * c.protectionFactor()
}

// nominalRatio returns the shed ratio of a class by the present level and its restoration, before protectionFactor.
func (c *Controller) nominalRatio(class int) float64 {
	ratio := 0.0
	if c.level > 0 {
		ratio = c.ladder[c.level-1].shedRatio(class)
	}
	if r := c.restoring[class]; r != nil {
		ratio = max(ratio, r.share*(1-r.restored))
	}
	return ratio
}

// protectionFactor returns 1 if at least minProtectedShare of the demand is not shed, and falls to 0 with that share.
func (c *Controller) protectionFactor() float64 {
	total, unshed := 0.0, 0.0
	for class, weight := range c.demand {
		total += weight
		unshed += weight * (1 - c.nominalRatio(class))
	}
	if total == 0 {
		return 1
	}
	return min(1, unshed/total/minProtectedShare)
}

// shedRule returns the rule for a class: of the present level, or of the mildest one above it that sheds the class.
func (c *Controller) shedRule(class int) *ShedRule {
	for i := max(c.level-1, 0); i < len(c.ladder); i++ {
		rules := c.ladder[i].Shedding
		for k := range rules {
			if rules[k].Class == class {
				return &rules[k]
			}
		}
	}
	return nil
}
