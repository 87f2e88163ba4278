package tasks

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// partLimit is the size of a write in these tests: a few parts.
const partLimit = 8 << 10

// storedJob is a job with its records as a store would hold them.
type storedJob struct {
	definition []byte
	progress   []byte
	parts      map[string][]byte
}

func (s *storedJob) clone() *storedJob {
	return &storedJob{s.definition, s.progress, maps.Clone(s.parts)}
}

func (s *storedJob) apply(records []ProgressRecord) {
	for _, record := range records {
		switch {
		case record.Part == "":
			s.progress = record.Value
		case len(record.Value) == 0:
			delete(s.parts, record.Part)
		default:
			s.parts[record.Part] = record.Value
		}
	}
}

func (s *storedJob) decode() (*Job, StoredProgress, error) {
	return DecodeStored(s.definition, s.progress, s.parts)
}

// newStoredJob returns the records of a job of which nothing but the definition is stored.
func newStoredJob(t testing.TB, job *Job) *storedJob {
	definition, err := job.EncodeDefinition()
	if err != nil {
		t.Fatal(err)
	}
	return &storedJob{definition: definition, parts: make(map[string][]byte)}
}

// single returns the progress of a job in a single record, as all jobs were stored before.
func single(t interface{ Fatal(...any) }, job *Job) string {
	data, err := job.EncodeProgress()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// newLargeJob returns a job with rounds in progress, all of whose tasks run.
func newLargeJob(t testing.TB, rounds, count int) *Job {
	t.Helper()
	plan := Plan{Spec: "spec", Steps: []Step{{Count: count}}, Repeats: rounds, First: testTime, Every: time.Second}
	job := NewJob(Key{Queue: "q/", ID: "job"}, plan, Policy{MaxAttempts: 3}, testTime)
	job.StartDueRounds(testTime.Add(time.Duration(rounds) * time.Second))
	for round := range job.Rounds {
		for i := range count {
			id := ID{Job: "job", Round: round, Index: i}
			job.Assign(id, "worker-"+fmt.Sprint(i%50), 1_700_000_000_000, testTime)
			job.MarkRunning(id, 1)
		}
	}
	return job
}

// TestOrdinaryJobIsOneRecord checks that the record of a job of ordinary size is that of
// earlier versions, byte for byte.
func TestOrdinaryJobIsOneRecord(t *testing.T) {
	job := newTestJob(Step{Count: 3}, Step{Count: 1, After: []int{0}})
	job.Assign(taskID(0, 0), "h<1>", 17, testTime)
	job.MarkRunning(taskID(0, 0), 1)
	job.SaveCheckpoint(taskID(0, 0), 1, "c")
	runTask(job, taskID(0, 1), EndFailed)
	runTask(job, taskID(0, 2), EndDone)
	var stored StoredProgress
	writes, err := job.EncodeChanges(&stored, Limits{Write: partLimit})
	want := `{"Next":1,"Begun":true,"Rounds":[0],"Tasks":[{"P":2,"R":1,"H":"h\u003c1\u003e","B":17,"C":"c"},{"I":1,"R":1,"F":1,"A":"h"},{"I":2,"P":3,"R":1}]}`
	if err != nil || len(writes) != 1 || len(writes[0]) != 1 || string(writes[0][0].Value) != want || writes[0][0].Part != "" {
		t.Errorf("got %q, error %v, want the single record %s", writes, err, want)
	}
}

// TestLargestJobIsStoredInBoundedRecords guards against a record that the store doesn't take,
// and against a change of one task that rewrites all.
func TestLargestJobIsStoredInBoundedRecords(t *testing.T) {
	job := newLargeJob(t, 4, 4096)
	records := newStoredJob(t, job)
	var stored StoredProgress
	writes, err := job.EncodeChanges(&stored, Limits{Write: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for _, write := range writes {
		if got := sizeOf(write); got > 1<<20 {
			t.Errorf("got a write of %d bytes, want at most 1 MB", got)
		}
		for _, record := range write {
			if len(record.Value) > maxPartBytes {
				t.Errorf("got %d bytes in record %q, want at most %d", len(record.Value), record.Part, maxPartBytes)
			}
		}
		records.apply(write)
	}
	decoded, _, err := records.decode()
	if err != nil || single(t, decoded) != single(t, job) {
		t.Errorf("got error %v for the records of the largest job, want none and the same state", err)
	}
	job.EndRun(ID{Job: "job", Round: 2, Index: 100}, 1, EndDone, "", testTime)
	writes, err = job.EncodeChanges(&stored, Limits{Write: 1 << 20})
	if err != nil || len(writes) != 1 || len(writes[0]) != 1 || writes[0][0].Part != "2.96" || writes[0][0].size() > 4096 {
		t.Errorf("got %d writes, error %v for the end of a task, want the record of its part alone", len(writes), err)
	}
}

// TestLongCheckpointsAreStoredApart guards against a part that outgrows a record because of
// its checkpoints, and against records left over when they are short again.
func TestLongCheckpointsAreStoredApart(t *testing.T) {
	job := newLargeJob(t, 1, 400)
	records := newStoredJob(t, job)
	var stored StoredProgress
	for _, length := range []int{10_000, 10, 5_000} {
		for i := range 40 {
			job.SaveCheckpoint(ID{Job: "job", Index: i}, 1, strings.Repeat("c", length))
		}
		writes, err := job.EncodeChanges(&stored, Limits{Write: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		for _, write := range writes {
			records.apply(write)
			for _, record := range write {
				if len(record.Value) > maxPartBytes {
					t.Errorf("got %d bytes in record %q, want at most %d", len(record.Value), record.Part, maxPartBytes)
				}
			}
		}
		decoded, _, err := records.decode()
		if err != nil || single(t, decoded) != single(t, job) {
			t.Errorf("got error %v with checkpoints of %d bytes, want none and the same state", err, length)
		}
	}
}

// TestRecordsFitTheStore guards against a record that the store doesn't take where it allows less
// than usual, or where the checkpoints take six bytes a character in JSON.
func TestRecordsFitTheStore(t *testing.T) {
	for _, limit := range []int{4 << 10, 16 << 10, 256 << 10} {
		limits := Limits{Write: 1 << 20, Record: limit}
		for _, length := range []int{0, 10, 200, limits.Checkpoint()} {
			job := newLargeJob(t, 1, 300)
			for i := range 40 {
				job.SaveCheckpoint(ID{Job: "job", Index: i}, 1, strings.Repeat("\x01", length))
			}
			var stored StoredProgress
			writes, err := job.EncodeChanges(&stored, limits)
			if err != nil {
				t.Fatal(err)
			}
			for _, write := range writes {
				for _, record := range write {
					if got, want := record.size(), limit-100; got > want {
						t.Errorf("got %d bytes in record %q with checkpoints of %d bytes, want at most %d", got, record.Part, length, want)
					}
				}
			}
		}
	}
}

// TestEarlierVersionCannotReadParts guards against a node of an earlier version that takes a
// large job for one that has not started.
func TestEarlierVersionCannotReadParts(t *testing.T) {
	// This is how earlier versions decode the progress.
	var earlier struct {
		Phase  Phase
		Rounds []int
		Tasks  []taskRecord
	}
	var stored StoredProgress
	job := newLargeJob(t, 1, 1000)
	writes, err := job.EncodeChanges(&stored, Limits{Write: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range writes[0] {
		if record.Part != "" {
			continue
		}
		if err := json.Unmarshal(record.Value, &earlier); err == nil {
			t.Errorf("got no error from an earlier version for %s, want one", record.Value)
		}
	}
	job.Cancel(testTime)
	if writes, err = job.EncodeChanges(&stored, Limits{Write: 1 << 20}); err != nil || len(writes) == 0 {
		t.Fatalf("got %v, error %v for a cancelled job, want a write", writes, err)
	}
	if _, _, err := DecodeStored(newStoredJob(t, job).definition, []byte(`{"Rounds":[0],"Tasks":{"Parts":2}}`), nil); err == nil {
		t.Error("got no error for a later format, want one")
	}
}

// wantEndsKept checks that a state read back has all ends of an earlier acknowledged state.
func wantEndsKept(t *rapid.T, acknowledged, got *Job) {
	if acknowledged.Phase != Open && got.Phase != acknowledged.Phase {
		t.Fatalf("got phase %v, want %v as acknowledged", got.Phase, acknowledged.Phase)
	}
	if got.NextRound < acknowledged.NextRound {
		t.Fatalf("got next round %d, want at least %d", got.NextRound, acknowledged.NextRound)
	}
	before, after := make(map[int]*Round), make(map[int]*Round)
	for _, round := range acknowledged.Rounds {
		before[round.Number] = round
	}
	for _, round := range got.Rounds {
		after[round.Number] = round
		if before[round.Number] == nil && round.Number < acknowledged.NextRound {
			t.Fatalf("got round %d in progress, want it over as acknowledged", round.Number)
		}
	}
	for number, round := range before {
		if after[number] == nil {
			continue
		}
		for step := range round.Steps {
			for i := range round.Steps[step] {
				was, is := &round.Steps[step][i], &after[number].Steps[step][i]
				if is.Run < was.Run || is.Failures < was.Failures || was.State == Done && is.State != Done {
					t.Fatalf("got %+v for task %d.%d.%d, want nothing lost of %+v", is, number, step, i, was)
				}
			}
		}
	}
}

// changeJob changes a job as runs would, with long stretches of tasks at a time.
func changeJob(t *rapid.T, job *Job, now time.Time) {
	job.StartDueRounds(now)
	// The end of a run may remove its round.
	for _, round := range slices.Clone(job.Rounds) {
		step := rapid.IntRange(0, len(round.Steps)-1).Draw(t, "step")
		size := len(round.Steps[step])
		first := rapid.SampledFrom([]int{0, 0, size / 3, size - 1}).Draw(t, "first")
		count := rapid.SampledFrom([]int{1, size / 2, size, size}).Draw(t, "count")
		reason := rapid.SampledFrom([]EndReason{EndDone, EndDone, EndDone, EndFailed, EndLost, EndStopped}).Draw(t, "reason")
		for i := first; i < min(first+count, size); i++ {
			id := ID{Job: "job", Round: round.Number, Step: step, Index: i}
			task := job.Task(id)
			switch {
			case task == nil || task.State == Done || job.Phase != Open:
			case !task.Active():
				job.Assign(id, "worker-"+fmt.Sprint(i%7), 1_700_000_000_000, now)
			default:
				job.EndRun(id, task.Run, reason, strings.Repeat("c", i%5), now)
			}
		}
	}
}

// finishRound ends all tasks of the first round in progress.
func finishRound(job *Job, now time.Time) {
	if len(job.Rounds) == 0 || job.Phase != Open {
		return
	}
	round := job.Rounds[0]
	for step := range round.Steps {
		for i := range round.Steps[step] {
			id := ID{Job: "job", Round: round.Number, Step: step, Index: i}
			if task := &round.Steps[step][i]; !task.Active() && task.State != Done {
				job.Assign(id, "worker", 1, now)
			}
			job.EndRun(id, round.Steps[step][i].Run, EndDone, "", now)
		}
	}
}

// TestStateAfterEachWrite plays random changes of large jobs. Whatever the write after which an
// owner dies, the state that the next one reads must have every end that was acknowledged, and
// what it then writes must be read back whole.
func TestStateAfterEachWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := Plan{
			Spec:    "spec",
			Steps:   []Step{{Count: 100 * rapid.IntRange(1, 7).Draw(t, "first")}, {Count: 33 * rapid.IntRange(1, 7).Draw(t, "second"), After: []int{0}}},
			Repeats: rapid.IntRange(1, 4).Draw(t, "rounds"), First: testTime, Every: time.Second,
		}
		job := NewJob(Key{Queue: "q/", ID: "job"}, plan, Policy{MaxAttempts: 1000}, testTime)
		definition, err := job.EncodeDefinition()
		if err != nil {
			t.Fatal(err)
		}
		records := &storedJob{definition: definition, parts: make(map[string][]byte)}
		var stored StoredProgress
		now := testTime
		for range rapid.IntRange(1, 12).Draw(t, "writes") {
			acknowledged, _, err := records.decode()
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(700 * time.Millisecond)
			changeJob(t, job, now)
			if rapid.IntRange(0, 4).Draw(t, "finish") == 0 {
				finishRound(job, now)
			}
			if rapid.IntRange(0, 20).Draw(t, "cancel") == 0 {
				job.Cancel(now)
			}
			writes, err := job.EncodeChanges(&stored, Limits{Write: rapid.SampledFrom([]int{1000, partLimit, 1 << 20}).Draw(t, "limit")})
			if err != nil {
				t.Fatal(err)
			}
			diesAfter := rapid.IntRange(0, 3*len(writes)).Draw(t, "dies")
			for i, write := range writes {
				if i == diesAfter {
					break
				}
				records.apply(write)
				got, _, err := records.clone().decode()
				if err != nil {
					t.Fatal(err)
				}
				wantEndsKept(t, acknowledged, got)
			}
			read, readStored, err := records.decode()
			if err != nil {
				t.Fatal(err)
			}
			if diesAfter < len(writes) {
				job, stored = read, readStored
			} else if single(t, read) != single(t, job) {
				t.Fatalf("got %s, want %s", single(t, read), single(t, job))
			}
		}
		for _, record := range stored.RemoveParts() {
			delete(records.parts, record.Part)
		}
		if len(records.parts) > 0 {
			t.Fatalf("got %d parts left after the removal, want none", len(records.parts))
		}
	})
}

// TestOrderOfSplitWrites checks what a next owner reads after each of the writes of a job in
// parts, if every record needs its own.
func TestOrderOfSplitWrites(t *testing.T) {
	tests := map[string]struct {
		change func(job *Job)
		// check is given the job as read and returns what is wrong with it.
		check func(job *Job) string
	}{
		"a round that is over doesn't start again": {
			change: func(job *Job) { finishRound(job, testTime) },
			check: func(job *Job) string {
				if job.Rounds[0].Number == 0 && job.Rounds[0].Steps[0][0].Run == 0 {
					return "round 0 is in progress without its tasks"
				}
				return ""
			},
		},
		"a job that has failed starts no further run": {
			change: func(job *Job) {
				for run := 1; run <= job.Policy.MaxAttempts; run++ {
					id := ID{Job: "job", Round: 1, Index: 3}
					job.EndRun(id, run, EndFailed, "", testTime)
					if job.Phase == Open {
						job.Assign(id, "h", 1, testTime)
					}
				}
			},
			check: func(job *Job) string {
				if task := job.Rounds[1].Steps[0][3]; job.Phase == Open && task.Failures >= job.Policy.MaxAttempts {
					return "the job is open although a task has failed too often"
				}
				return ""
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			job := newLargeJob(t, 3, 500)
			records := newStoredJob(t, job)
			var stored StoredProgress
			writes, err := job.EncodeChanges(&stored, Limits{Write: 1 << 20})
			if err != nil {
				t.Fatal(err)
			}
			for _, write := range writes {
				records.apply(write)
			}
			test.change(job)
			if writes, err = job.EncodeChanges(&stored, Limits{Write: 1}); err != nil || len(writes) < 2 {
				t.Fatalf("got %d writes, error %v, want several", len(writes), err)
			}
			for i, write := range writes {
				records.apply(write)
				read, _, err := records.decode()
				if err != nil {
					t.Fatal(err)
				}
				if problem := test.check(read); problem != "" {
					t.Errorf("after write %d of %d: %s", i+1, len(writes), problem)
				}
			}
		})
	}
}
