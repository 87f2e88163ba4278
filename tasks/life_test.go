package tasks

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testTime = time.UnixMilli(1_700_000_000_000).UTC()

func newTestJob(steps ...Step) *Job {
	job := NewJob(Key{Queue: "q/", ID: "job"}, Plan{Spec: "spec", Steps: steps}, Policy{Service: "s", MaxAttempts: 2}, testTime)
	job.Advance(testTime)
	return job
}

func name(step, index int) Name { return Name{Job: "job", Step: step, Index: index} }

// end runs a task to an end.
func end(job *Job, at Name, how How) {
	job.Assign(at, "h", 1, testTime)
	job.Shown(at, job.Task(at).Run)
	job.End(at, job.Task(at).Run, how, "", testTime)
}

// TestStepsInOrder checks that a step waits for those before it, and that the
// last end completes the job.
func TestStepsInOrder(t *testing.T) {
	job := newTestJob(Step{Count: 2}, Step{Count: 1, After: []int{0}})
	end(job, name(0, 0), EndDone)
	if job.Ready(job.Rounds[0], 1) {
		t.Error("got step 1 ready before step 0 is done, want it to wait")
	}
	end(job, name(0, 1), EndDone)
	if !job.Ready(job.Rounds[0], 1) {
		t.Error("got step 1 not ready, want it ready")
	}
	end(job, name(1, 0), EndDone)
	if job.Phase != Completed {
		t.Errorf("got phase %v, want %v", job.Phase, Completed)
	}
}

// TestAttempts checks which ends count as attempts.
func TestAttempts(t *testing.T) {
	job := newTestJob(Step{Count: 1})
	for _, how := range []How{EndStopped, EndLapsed, EndBroken, EndAlone, EndLost, EndFailed} {
		end(job, name(0, 0), how)
		if job.Phase != Open {
			t.Fatalf("got phase %v after %v, want %v", job.Phase, how, Open)
		}
	}
	end(job, name(0, 0), EndFailed)
	if job.Phase != Failed {
		t.Errorf("got phase %v after the second failure, want %v", job.Phase, Failed)
	}
	lasting := newTestJob(Step{Count: 1, Lasting: true})
	for range 10 {
		end(lasting, name(0, 0), EndFailed)
		end(lasting, name(0, 0), EndDone)
	}
	if lasting.Phase != Open || lasting.Task(name(0, 0)).State != Waiting {
		t.Errorf("got phase %v and state %v of a lasting task, want it to wait for its next run", lasting.Phase, lasting.Task(name(0, 0)).State)
	}
}

// TestOldEnds checks that an end counts once and only for the run that it names.
func TestOldEnds(t *testing.T) {
	job := newTestJob(Step{Count: 1})
	end(job, name(0, 0), EndFailed)
	if job.End(name(0, 0), 1, EndFailed, "", testTime) {
		t.Error("got a second end of run 1 as news, want it passed over")
	}
	job.Assign(name(0, 0), "h", 1, testTime)
	if job.End(name(0, 0), 1, EndDone, "", testTime) {
		t.Error("got an end of run 1 as news during run 2, want it passed over")
	}
	if got := job.Task(name(0, 0)).Run; got != 2 {
		t.Errorf("got run %d, want 2", got)
	}
}

// TestGang checks that members share runs, failures and the good end.
func TestGang(t *testing.T) {
	job := newTestJob(Step{Count: 3, Gang: true})
	start := func() {
		for i := range 3 {
			job.Assign(name(0, i), "h", 1, testTime)
		}
	}
	start()
	job.End(name(0, 0), 1, EndFailed, "saved", testTime)
	job.End(name(0, 1), 1, EndFailed, "", testTime)
	job.End(name(0, 2), 1, EndBroken, "", testTime)
	for i := range 3 {
		if task := job.Task(name(0, i)); task.Failed != 1 || task.Saved != "saved" {
			t.Errorf("got %+v of member %d, want one failure and the checkpoint", task, i)
		}
	}
	start()
	for i := range 3 {
		if got := job.Task(name(0, i)).Run; got != 2 {
			t.Errorf("got run %d of member %d, want 2", got, i)
		}
	}
	job.End(name(0, 1), 2, EndDone, "", testTime)
	if job.Phase != Completed {
		t.Errorf("got phase %v after one good end, want %v", job.Phase, Completed)
	}
}

// TestRounds checks when the rounds of a job begin and end.
func TestRounds(t *testing.T) {
	plan := Plan{Steps: []Step{{Count: 1}}, Repeats: 3, First: testTime.Add(time.Second), Every: time.Second}
	job := NewJob(Key{ID: "job"}, plan, Policy{MaxAttempts: 1}, testTime)
	if job.Advance(testTime) {
		t.Error("got a round before the first is due, want none")
	}
	job.Advance(testTime.Add(2 * time.Second))
	if got := len(job.Rounds); got != 2 {
		t.Fatalf("got %d rounds, want 2", got)
	}
	second := Name{Job: "job", Round: 1}
	end(job, second, EndDone)
	if job.Phase != Open || len(job.Rounds) != 1 {
		t.Errorf("got phase %v and %d rounds, want the first still under way", job.Phase, len(job.Rounds))
	}
	job.Advance(testTime.Add(time.Hour))
	end(job, Name{Job: "job"}, EndDone)
	end(job, Name{Job: "job", Round: 2}, EndDone)
	if job.Phase != Completed {
		t.Errorf("got phase %v, want %v", job.Phase, Completed)
	}
}

// naiveTask is the plain account of one task.
type naiveTask struct {
	runs, failed int
	active, done bool
}

// TestLifeAgainstNaive drives a job with drawn starts and ends, some of them old,
// and compares it with a plain account; it also takes the job through its records
// at every step.
func TestLifeAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count, attempts = 3, 3
		job := newTestJob(Step{Count: count})
		job.Policy.MaxAttempts = attempts
		naive := make([]naiveTask, count)
		open := func() bool {
			done := 0
			for _, task := range naive {
				if task.failed >= attempts {
					return false
				}
				if task.done {
					done++
				}
			}
			return done < count
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if !open() {
				break
			}
			i := rapid.IntRange(0, count-1).Draw(t, "task")
			task := &naive[i]
			if !task.active && !task.done && rapid.Bool().Draw(t, "start") {
				job.Assign(name(0, i), "h", 1, testTime)
				task.runs++
				task.active = true
				continue
			}
			run := rapid.IntRange(1, task.runs+1).Draw(t, "run")
			how := rapid.SampledFrom([]How{EndDone, EndFailed, EndLost, EndStopped}).Draw(t, "how")
			news := task.active && run == task.runs
			if got := job.End(name(0, i), run, how, "", testTime); got != news {
				t.Fatalf("got %v for the end of run %d of task %d, want %v", got, run, i, news)
			}
			if news {
				task.active = false
				task.done = how == EndDone
				if how == EndFailed {
					task.failed++
				}
			}
			job = throughRecords(t, job)
		}
		if got := job.Phase == Open; got != open() {
			t.Fatalf("got phase %v, want it open: %v", job.Phase, open())
		}
	})
}

// throughRecords returns the job as another node reads it.
func throughRecords(t *rapid.T, job *Job) *Job {
	definition, err := job.EncodeDefinition()
	if err != nil {
		t.Fatal(err)
	}
	done, err := job.EncodeProgress()
	if err != nil {
		t.Fatal(err)
	}
	read, err := DecodeJob(definition, done)
	if err != nil {
		t.Fatal(err)
	}
	for _, round := range job.Rounds {
		for step := range round.Steps {
			for i := range round.Steps[step] {
				at := Name{Job: "job", Round: round.Number, Step: step, Index: i}
				got, want := *read.Task(at), round.Steps[step][i]
				if !want.Active() {
					// Only the place of a run at work matters.
					want.Host, want.Born = "", 0
				}
				want.Since = time.Time{}
				if !reflect.DeepEqual(got, want) {
					t.Fatalf("got %+v from the records, want %+v", got, want)
				}
			}
		}
	}
	return read
}
