package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// The kinds of fault.
const (
	KillDaemon        FaultKind = "kill-daemon"
	StopDaemon        FaultKind = "stop-daemon"
	PauseDaemon       FaultKind = "pause-daemon"
	ReloadDaemon      FaultKind = "reload-daemon"
	FailStore         FaultKind = "store-fails"
	DropHistory       FaultKind = "drop-history"
	RestoreStore      FaultKind = "store-restore"
	DisturbStoreLink  FaultKind = "store-link"
	DisturbServerLink FaultKind = "server-link"
	FailNextRequests  FaultKind = "server-faults"
	FailAllRequests   FaultKind = "server-fails"
	CrashServer       FaultKind = "crash-server"
	DrainServer       FaultKind = "server-leaves"
	RestartServer     FaultKind = "restart-server"
	WriteForeignEntry FaultKind = "foreign-entry"
	PublishVersion    FaultKind = "publish"
	AnswerTwice       FaultKind = "server-stutters"
	AnnounceLeaving   FaultKind = "server-says-leaving"
	BackOffServer     FaultKind = "server-backs-off"
	RotateKey         FaultKind = "rotate-key"
	RevokeInOutage    FaultKind = "revoke-in-outage"
	FailProvider      FaultKind = "platform-calls-fail"
	SendLethal        FaultKind = "request-crashes-servers"
	LimitServer       FaultKind = "server-names-limit"
	CutPaths          FaultKind = "daemons-lose-path"
	SilenceServer     FaultKind = "server-falls-silent"
	KillAllDaemons    FaultKind = "kill-all-daemons"
	HangReads         FaultKind = "waiting-reads-hang"
	GrowConfiguration FaultKind = "configuration-grows"
	SendEndless       FaultKind = "server-sends-without-end"
	SilenceStoreLinks FaultKind = "store-connections-silent"
	FailShareOfPool   FaultKind = "pool-fails-a-share"
	WriteOddEntry     FaultKind = "odd-entry"
	CutHeads          FaultKind = "server-cuts-heads"
	ResumeAfterDeath  FaultKind = "streams-after-all-died"
	JoinVersion       FaultKind = "version-joins-in-standstill"
	CrashAtOnce       FaultKind = "servers-crash-at-one-moment"
	SendToTwoHosts    FaultKind = "path-of-two-hosts"
	SilencePool       FaultKind = "pool-falls-silent"
	StopBesideACut    FaultKind = "stops-beside-a-cut"
)

// Step is one fault of a run.
type Step struct {
	At   time.Duration
	Kind FaultKind
	// Target selects the daemon or server, modulo their number.
	Target int
	// Variant selects a form of the fault, modulo the number of forms.
	Variant int
	For     time.Duration
}

// SavedPlan is a plan that has revealed a bug, saved for replay. A seed doesn't suffice: it
// yields other steps as soon as a kind of fault is added.
type SavedPlan struct {
	// Cause describes the bug.
	Cause string
	// Callers is the number of callers that the plan needs; 0 leaves it to the run.
	Callers int `json:",omitempty"`
	// LongPolls is as in Options.
	LongPolls bool `json:",omitempty"`
	Steps     []Step
}

// ReadPlan reads a plan from a file.
func ReadPlan(file string) (SavedPlan, error) {
	var p SavedPlan
	text, err := os.ReadFile(file)
	if err != nil {
		return p, eris.Wrap(err, "plan")
	}
	return p, eris.Wrapf(json.Unmarshal(text, &p), "plan %s", file)
}

// Write writes the plan to a file.
func (p SavedPlan) Write(file string) error {
	text, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return eris.Wrap(err, "plan")
	}
	return eris.Wrap(os.WriteFile(file, append(text, '\n'), settingsMode), "plan")
}

// String describes the step for reports.
func (s Step) String() string {
	return fmt.Sprintf("%v %s target %d variant %d for %v", s.At, s.Kind, s.Target, s.Variant, s.For)
}

// FaultProfile sets how many faults a run has and how long they last.
type FaultProfile struct {
	// Steps begin within Length and last up to MaxDuration. The mean time between two is drawn
	// from MeanInterval to maxIntervalFactor times that: at the low end several faults overlap
	// at any time, at the high end there are undisturbed times, in which promises with a time
	// limit can be checked.
	Length, MeanInterval, MaxDuration time.Duration
}

// maxIntervalFactor is the largest mean time between two steps, in multiples of MeanInterval.
const maxIntervalFactor = 8

// maxVersions bounds the configurations of a run; each is identified by a pool of its own.
const maxVersions = 8

// kindWeight is the relative frequency of a kind.
type kindWeight struct {
	kind   FaultKind
	weight int
}

// kindWeights holds the kinds of the first stream of steps. Faults that hit one of many targets
// are more frequent than those that hit the whole site.
var kindWeights = []kindWeight{
	{KillDaemon, 3}, {StopDaemon, 4}, {PauseDaemon, 3}, {ReloadDaemon, 3},
	{FailStore, 2}, {DropHistory, 1}, {RestoreStore, 2}, {DisturbStoreLink, 3},
	{DisturbServerLink, 3}, {FailNextRequests, 6}, {FailAllRequests, 5}, {CrashServer, 2}, {DrainServer, 3}, {RestartServer, 2}, {WriteForeignEntry, 2}, {PublishVersion, 2},
}

// answerKindWeights holds the kinds of the second stream, in which servers answer wrongly or
// ask for something in their answers.
var answerKindWeights = []kindWeight{{AnswerTwice, 3}, {AnnounceLeaving, 2}, {BackOffServer, 3}}

// accessKindWeights holds the kinds of the third stream: keys and the platform's calls.
var accessKindWeights = []kindWeight{{RotateKey, 4}, {RevokeInOutage, 1}, {FailProvider, 2}}

// needKindWeights holds the kinds of the fourth stream: what servers need to survive.
var needKindWeights = []kindWeight{{SendLethal, 1}, {LimitServer, 2}}

// pathKindWeights holds the kinds of the fifth stream: paths from daemons to servers.
var pathKindWeights = []kindWeight{{CutPaths, 2}, {SilenceServer, 1}}

// siteKindWeights holds the kinds of the sixth stream: what hits all daemons at once.
var siteKindWeights = []kindWeight{{KillAllDaemons, 1}}

// configKindWeights holds the kinds of the seventh stream: new configurations while reads hang.
var configKindWeights = []kindWeight{{HangReads, 1}}

// transferKindWeights holds the kinds of the eighth stream: long, endless and silent transfers.
var transferKindWeights = []kindWeight{{GrowConfiguration, 1}, {SendEndless, 3}, {SilenceStoreLinks, 1}}

// poolKindWeights holds the kinds of the ninth stream: what makes a pool useless, or its streams mixed.
var poolKindWeights = []kindWeight{{FailShareOfPool, 1}, {WriteOddEntry, 3}, {CutHeads, 2}, {ResumeAfterDeath, 1}}

// releaseKindWeights holds the kinds of the tenth stream: releases beside daemons out of step.
var releaseKindWeights = []kindWeight{{JoinVersion, 1}}

// momentKindWeights holds the kinds of the twelfth stream: whose crash it was.
var momentKindWeights = []kindWeight{{CrashAtOnce, 1}, {SendToTwoHosts, 1}}

// silenceKindWeights holds the kinds of the thirteenth stream: sound servers that say nothing for a while.
var silenceKindWeights = []kindWeight{{SilencePool, 1}}

// handOnKindWeights holds the kinds of the fourteenth stream: stops of daemons that serve for others.
var handOnKindWeights = []kindWeight{{StopBesideACut, 1}}

const (
	// handOnStream is the random stream of the fourteenth stream of steps, handOnIntervalFactor how much longer
	// its intervals are.
	handOnStream         = 1 << 44
	handOnIntervalFactor = 24
	// silenceStream is the random stream of the thirteenth stream of steps, silenceIntervalFactor how much
	// longer its intervals are.
	silenceStream         = 1 << 43
	silenceIntervalFactor = 16
	// momentStream is the random stream of the twelfth stream of steps, momentIntervalFactor how much
	// longer its intervals are.
	momentStream         = 1 << 42
	momentIntervalFactor = 16
	// releaseStream is the random stream of the tenth stream of steps, releaseIntervalFactor how much longer
	// its intervals are.
	releaseStream         = 1 << 40
	releaseIntervalFactor = 16
	// poolStream is the random stream of the ninth stream of steps, poolIntervalFactor how much longer its
	// intervals are.
	poolStream         = 1 << 39
	poolIntervalFactor = 12
	// transferStream is the random stream of the eighth stream of steps, transferIntervalFactor how much
	// longer its intervals are.
	transferStream         = 1 << 38
	transferIntervalFactor = 8
	// configStream is the random stream of the seventh stream of steps, configIntervalFactor how much
	// longer its intervals are.
	configStream         = 1 << 37
	configIntervalFactor = 12
	// siteStream is the random stream of the sixth stream of steps, siteIntervalFactor how much longer
	// its intervals are.
	siteStream         = 1 << 36
	siteIntervalFactor = 24
	// pathStream is the random stream of the fifth stream of steps, pathIntervalFactor how much longer
	// its intervals are.
	pathStream         = 1 << 35
	pathIntervalFactor = 12
	// needStream is the random stream of the fourth stream of steps, needIntervalFactor how much
	// longer its intervals are.
	needStream         = 1 << 34
	needIntervalFactor = 12
	// accessStream is the random stream of the third stream of steps, accessIntervalFactor how much
	// longer its intervals are.
	accessStream         = 1 << 33
	accessIntervalFactor = 4
	// answerStream is the random stream of the second stream of steps. Callers draw from the
	// streams after 0, one each.
	answerStream = 1 << 32
	// answerIntervalFactor is how much longer the intervals of the second stream are.
	answerIntervalFactor = 2
)

// NewPlan draws the steps of a run. The same seed and profile yield the same steps.
func NewPlan(seed uint64, profile FaultProfile) []Step {
	steps := drawSteps(rand.New(rand.NewPCG(seed, 0)), profile, kindWeights)
	profile.MeanInterval *= answerIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, answerStream)), profile, answerKindWeights)...)
	profile.MeanInterval *= accessIntervalFactor / answerIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, accessStream)), profile, accessKindWeights)...)
	profile.MeanInterval *= needIntervalFactor / accessIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, needStream)), profile, needKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / needIntervalFactor * pathIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, pathStream)), profile, pathKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / pathIntervalFactor * siteIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, siteStream)), profile, siteKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / siteIntervalFactor * configIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, configStream)), profile, configKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / configIntervalFactor * transferIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, transferStream)), profile, transferKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / transferIntervalFactor * poolIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, poolStream)), profile, poolKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / poolIntervalFactor * releaseIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, releaseStream)), profile, releaseKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / releaseIntervalFactor * momentIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, momentStream)), profile, momentKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / momentIntervalFactor * silenceIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, silenceStream)), profile, silenceKindWeights)...)
	profile.MeanInterval = profile.MeanInterval / silenceIntervalFactor * handOnIntervalFactor
	steps = append(steps, drawSteps(rand.New(rand.NewPCG(seed, handOnStream)), profile, handOnKindWeights)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

func drawSteps(rng *rand.Rand, profile FaultProfile, kinds []kindWeight) []Step {
	meanInterval := float64(profile.MeanInterval) * math.Pow(maxIntervalFactor, rng.Float64())
	var steps []Step
	versions := 1
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * meanInterval)
		if at >= profile.Length {
			return steps
		}
		step := Step{
			At: at.Round(time.Millisecond), Kind: drawKind(rng, kinds), Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16),
			For: drawDuration(rng, profile.MaxDuration),
		}
		if step.Kind == PublishVersion {
			if versions == maxVersions {
				continue
			}
			versions++
		}
		steps = append(steps, step)
	}
}

func drawKind(rng *rand.Rand, kinds []kindWeight) FaultKind {
	total := 0
	for _, w := range kinds {
		total += w.weight
	}
	n := rng.IntN(total)
	i := slices.IndexFunc(kinds, func(w kindWeight) bool {
		n -= w.weight
		return n < 0
	})
	return kinds[i].kind
}

// drawDuration draws 50 ms plus a duration that is uniform below limit, limit/2, limit/4 or
// limit/8, each with equal probability, so that short faults are frequent too.
func drawDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	shift := rng.IntN(4)
	return time.Duration(rng.Int64N(int64(limit>>shift))) + 50*time.Millisecond
}
