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
	job.StartDueRounds(testTime)
	return job
}

func taskID(step, index int) ID { return ID{Job: "job", Step: step, Index: index} }

// runTask assigns a run of the task and ends it.
func runTask(job *Job, id ID, reason EndReason) {
	job.Assign(id, "h", 1, testTime)
	job.MarkRunning(id, job.Task(id).Run)
	job.EndRun(id, job.Task(id).Run, reason, "", testTime)
}

// TestStepDependencies checks that a step waits for the steps that it depends on,
// and that the last successful run completes the job.
func TestStepDependencies(t *testing.T) {
	job := newTestJob(Step{Count: 2}, Step{Count: 1, After: []int{0}})
	runTask(job, taskID(0, 0), EndDone)
	if job.DependenciesDone(job.Rounds[0], 1) {
		t.Error("got step 1 ready before step 0 is done, want not ready")
	}
	runTask(job, taskID(0, 1), EndDone)
	if !job.DependenciesDone(job.Rounds[0], 1) {
		t.Error("got step 1 not ready, want ready")
	}
	runTask(job, taskID(1, 0), EndDone)
	if job.Phase != Completed {
		t.Errorf("got phase %v, want %v", job.Phase, Completed)
	}
}

// TestFailureLimit checks that only failed runs count towards MaxAttempts, and that
// a serving task may fail any number of times.
func TestFailureLimit(t *testing.T) {
	job := newTestJob(Step{Count: 1})
	for _, reason := range []EndReason{EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, EndLost, EndFailed} {
		runTask(job, taskID(0, 0), reason)
		if job.Phase != Open {
			t.Fatalf("got phase %v after %v, want %v", job.Phase, reason, Open)
		}
	}
	runTask(job, taskID(0, 0), EndFailed)
	if job.Phase != Failed {
		t.Errorf("got phase %v after the second failure, want %v", job.Phase, Failed)
	}
	serving := newTestJob(Step{Count: 1, Lasting: true})
	for range 10 {
		runTask(serving, taskID(0, 0), EndFailed)
		runTask(serving, taskID(0, 0), EndDone)
	}
	if serving.Phase != Open || serving.Task(taskID(0, 0)).State != Waiting {
		t.Errorf("got phase %v and state %v of a serving task, want %v and %v", serving.Phase, serving.Task(taskID(0, 0)).State, Open, Waiting)
	}
}

// TestCrashLimit checks that the job of a task fails once too many hosts in a row have
// crashed right after they started it, also if other ends come between.
func TestCrashLimit(t *testing.T) {
	job := newTestJob(Step{Count: 2})
	for crashes := range maxCrashes {
		if got, want := job.Plan.Steps[0].Isolates(job.Task(taskID(0, 0))), crashes > 0; got != want {
			t.Errorf("got isolation %t after %d crashes, want %t", got, crashes, want)
		}
		runTask(job, taskID(0, 0), EndLost)
		runTask(job, taskID(0, 0), EndCrashed)
	}
	if job.Phase != Failed {
		t.Errorf("got phase %v after %d crashes, want %v", job.Phase, maxCrashes, Failed)
	}
	if got := job.Task(taskID(0, 1)).Crashes; got != 0 {
		t.Errorf("got %d crashes of the other task, want 0", got)
	}
}

// TestStableRunClearsCrashes checks that only crashes in a row count.
func TestStableRunClearsCrashes(t *testing.T) {
	job, id := newTestJob(Step{Count: 1}), taskID(0, 0)
	for range 2 * maxCrashes {
		runTask(job, id, EndCrashed)
		job.Assign(id, "h", 1, testTime)
		if got := job.MarkStable(id, job.Task(id).Run-1); got {
			t.Error("got a former run marked as stable, want it ignored")
		}
		if got := job.MarkStable(id, job.Task(id).Run); !got {
			t.Error("got no change by a stable run, want the crashes cleared")
		}
		job.EndRun(id, job.Task(id).Run, EndStopped, "", testTime)
	}
	if job.Phase != Open {
		t.Errorf("got phase %v, want %v", job.Phase, Open)
	}
}

// TestCrashingServingTaskIsAbandoned checks that the other tasks of a serving step go on.
func TestCrashingServingTaskIsAbandoned(t *testing.T) {
	job := newTestJob(Step{Count: 2, Lasting: true})
	for range maxCrashes {
		runTask(job, taskID(0, 0), EndCrashed)
	}
	if got := job.Task(taskID(0, 0)).State; got != Abandoned {
		t.Errorf("got state %v, want %v", got, Abandoned)
	}
	if job.Phase != Open || job.Rounds[0].Waiting(0) != 1 {
		t.Errorf("got phase %v and %d waiting tasks, want %v and 1", job.Phase, job.Rounds[0].Waiting(0), Open)
	}
}

// TestStaleRunEnds checks that the end of a run is applied once, and only to the
// run that it names.
func TestStaleRunEnds(t *testing.T) {
	job := newTestJob(Step{Count: 1})
	runTask(job, taskID(0, 0), EndFailed)
	if job.EndRun(taskID(0, 0), 1, EndFailed, "", testTime) {
		t.Error("got a second end of run 1 applied, want it ignored")
	}
	job.Assign(taskID(0, 0), "h", 1, testTime)
	if job.EndRun(taskID(0, 0), 1, EndDone, "", testTime) {
		t.Error("got an end of run 1 applied during run 2, want it ignored")
	}
	if got := job.Task(taskID(0, 0)).Run; got != 2 {
		t.Errorf("got run %d, want 2", got)
	}
}

// TestGangSharesState checks that the members of a gang share run numbers, the
// failure count, checkpoints and success.
func TestGangSharesState(t *testing.T) {
	job := newTestJob(Step{Count: 3, Gang: true})
	start := func() {
		for i := range 3 {
			job.Assign(taskID(0, i), "h", 1, testTime)
		}
	}
	start()
	job.EndRun(taskID(0, 0), 1, EndFailed, "saved", testTime)
	job.EndRun(taskID(0, 1), 1, EndFailed, "", testTime)
	job.EndRun(taskID(0, 2), 1, EndGangBroken, "", testTime)
	for i := range 3 {
		if task := job.Task(taskID(0, i)); task.Failures != 1 || task.Checkpoint != "saved" {
			t.Errorf("got %+v for member %d, want 1 failure and checkpoint %q", task, i, "saved")
		}
	}
	start()
	for i := range 3 {
		if got := job.Task(taskID(0, i)).Run; got != 2 {
			t.Errorf("got run %d for member %d, want 2", got, i)
		}
	}
	job.EndRun(taskID(0, 1), 2, EndDone, "", testTime)
	if job.Phase != Completed {
		t.Errorf("got phase %v after one member succeeded, want %v", job.Phase, Completed)
	}
}

// TestRoundSchedule checks when the rounds of a repeated job start, and that the
// job completes with the last one.
func TestRoundSchedule(t *testing.T) {
	plan := Plan{Steps: []Step{{Count: 1}}, Repeats: 3, First: testTime.Add(time.Second), Every: time.Second}
	job := NewJob(Key{ID: "job"}, plan, Policy{MaxAttempts: 1}, testTime)
	if job.StartDueRounds(testTime) {
		t.Error("got a round started before the first is due, want none")
	}
	job.StartDueRounds(testTime.Add(2 * time.Second))
	if got := len(job.Rounds); got != 2 {
		t.Fatalf("got %d rounds, want 2", got)
	}
	second := ID{Job: "job", Round: 1}
	runTask(job, second, EndDone)
	if job.Phase != Open || len(job.Rounds) != 1 {
		t.Errorf("got phase %v and %d rounds, want %v and 1", job.Phase, len(job.Rounds), Open)
	}
	job.StartDueRounds(testTime.Add(time.Hour))
	runTask(job, ID{Job: "job"}, EndDone)
	runTask(job, ID{Job: "job", Round: 2}, EndDone)
	if job.Phase != Completed {
		t.Errorf("got phase %v, want %v", job.Phase, Completed)
	}
}

// TestRoundsInProgressAreBounded checks that a job with many rounds due at once starts
// no more than its limit of tasks, starts the others as rounds end, and completes.
func TestRoundsInProgressAreBounded(t *testing.T) {
	const tasksPerRound = 1000
	const rounds = 2*maxTasksInProgress/tasksPerRound + 1
	plan := Plan{Steps: []Step{{Count: tasksPerRound}}, Repeats: rounds, First: testTime}
	job := NewJob(Key{ID: "job"}, plan, Policy{MaxAttempts: 1}, testTime)
	for range rounds + 1 {
		job.StartDueRounds(testTime)
		if job.Phase != Open {
			break
		}
		if got := len(job.Rounds) * tasksPerRound; got == 0 || got > maxTasksInProgress {
			t.Fatalf("got %d tasks in progress, want 1 to %d", got, maxTasksInProgress)
		}
		for i := range tasksPerRound {
			runTask(job, ID{Job: "job", Round: job.Rounds[0].Number, Index: i}, EndDone)
		}
	}
	if job.Phase != Completed {
		t.Errorf("got phase %v with %d rounds started, want %v", job.Phase, job.NextRound, Completed)
	}
}

// TestUnknownStatesHaveNames checks that a phase, state or reason that isn't known,
// such as one of another version, has a text.
func TestUnknownStatesHaveNames(t *testing.T) {
	for _, value := range []int{-1, 100} {
		for _, got := range []string{Phase(value).String(), State(value).String(), EndReason(value).String()} {
			if want := "unknown"; got != want {
				t.Errorf("got %q for value %d, want %q", got, value, want)
			}
		}
	}
}

// modelTask is the reference model of one task.
type modelTask struct {
	runs, failed, crashes int
	active, done          bool
}

// TestJobMatchesModel applies random starts and ends, some for stale runs, to a job
// and to a reference model and compares them. After every event the job is encoded
// and decoded.
func TestJobMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count, attempts = 3, 3
		job := newTestJob(Step{Count: count})
		job.Policy.MaxAttempts = attempts
		model := make([]modelTask, count)
		open := func() bool {
			done := 0
			for _, task := range model {
				if task.failed >= attempts || task.crashes >= maxCrashes {
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
			task := &model[i]
			if !task.active && !task.done && rapid.Bool().Draw(t, "start") {
				job.Assign(taskID(0, i), "h", 1, testTime)
				task.runs++
				task.active = true
				continue
			}
			run := rapid.IntRange(1, task.runs+1).Draw(t, "run")
			reason := rapid.SampledFrom([]EndReason{EndDone, EndFailed, EndLost, EndStopped, EndCrashed}).Draw(t, "reason")
			want := task.active && run == task.runs
			if got := job.EndRun(taskID(0, i), run, reason, "", testTime); got != want {
				t.Fatalf("got %v for the end of run %d of task %d, want %v", got, run, i, want)
			}
			if want {
				task.active = false
				task.done = reason == EndDone
				if reason == EndFailed {
					task.failed++
				}
				if reason == EndCrashed {
					task.crashes++
				}
			}
			job = roundTrip(t, job)
		}
		if got := job.Phase == Open; got != open() {
			t.Fatalf("got phase %v, want open = %v", job.Phase, open())
		}
	})
}

// roundTrip encodes and decodes the job and checks that its tasks are unchanged.
func roundTrip(t *rapid.T, job *Job) *Job {
	definition, err := job.EncodeDefinition()
	if err != nil {
		t.Fatal(err)
	}
	progressData, err := job.EncodeProgress()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeJob(definition, progressData)
	if err != nil {
		t.Fatal(err)
	}
	for _, round := range job.Rounds {
		for step := range round.Steps {
			for i := range round.Steps[step] {
				id := ID{Job: "job", Round: round.Number, Step: step, Index: i}
				got, want := *decoded.Task(id), round.Steps[step][i]
				if !want.Active() {
					// The host is stored for active runs only.
					want.Host, want.HostIncarnation = "", 0
				}
				want.AssignedAt = time.Time{}
				if !reflect.DeepEqual(got, want) {
					t.Fatalf("got %+v after decoding, want %+v", got, want)
				}
			}
		}
	}
	return decoded
}

// TestUnsteadyMachinesGiveUpNoTask checks that hosts which went away on machines that go down by
// themselves give up a task only together with others, and that they count until a run is stable.
func TestUnsteadyMachinesGiveUpNoTask(t *testing.T) {
	tests := []struct {
		unsteady, crashes int
		want              Phase
	}{
		{unsteady: 20, crashes: 1, want: Open},
		{unsteady: 1, crashes: 2, want: Open},
		{unsteady: 1, crashes: 3, want: Failed},
		{unsteady: 2, crashes: 2, want: Failed},
		{unsteady: 0, crashes: 3, want: Open},
	}
	for _, test := range tests {
		job, id := newTestJob(Step{Count: 1}), taskID(0, 0)
		for range test.unsteady {
			runTask(job, id, EndUnsteady)
		}
		for range test.crashes {
			runTask(job, id, EndCrashed)
		}
		if job.Phase != test.want {
			t.Errorf("got phase %v after %d unsteady machines and %d crashes, want %v", job.Phase, test.unsteady, test.crashes, test.want)
		}
		if job.Phase != Open {
			continue
		}
		job.Assign(id, "h", 1, testTime)
		job.MarkStable(id, job.Task(id).Run)
		if got := job.Task(id); got.Unsteady != 0 || got.Crashes != 0 {
			t.Errorf("got %d unsteady machines and %d crashes after a stable run, want none", got.Unsteady, got.Crashes)
		}
	}
}

// TestUnsteadyMachinesAreStored guards against a new owner that forgets them: with it, a task that
// crashes its hosts would be started on more of them.
func TestUnsteadyMachinesAreStored(t *testing.T) {
	job, id := newTestJob(Step{Count: 1}), taskID(0, 0)
	runTask(job, id, EndUnsteady)
	record, ok := newTaskRecord(id.Round, id.Step, id.Index, job.Task(id))
	if !ok {
		t.Fatal("got no record of a task that had a run, want one")
	}
	restored := newTestJob(Step{Count: 1})
	if err := restored.restoreTask(record); err != nil {
		t.Fatal(err)
	}
	if got := restored.Task(id).Unsteady; got != 1 {
		t.Errorf("got %d unsteady machines of the restored task, want 1", got)
	}
}
