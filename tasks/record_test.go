package tasks

import (
	"strings"
	"testing"
	"time"
)

// useJob calls what a node does with a job that it has received or read, which must
// not panic.
func useJob(t *testing.T, job *Job) {
	t.Helper()
	job.StartDueRounds(testTime)
	job.CriticalPath()
	job.CPUTime(time.Second)
	job.WaitingCPUTime()
	job.UnassignedTasks()
	_ = job.Phase.String()
	for _, round := range job.Rounds {
		for step := range round.Steps {
			job.DependenciesDone(round, step)
			job.DependenciesStarted(round, step)
			for index := range round.Steps[step] {
				id := ID{Job: job.Key.ID, Round: round.Number, Step: step, Index: index}
				_ = job.Task(id).State.String()
				job.EndRun(id, job.Task(id).Run, EndFailed, "", testTime)
			}
		}
	}
	if _, err := job.EncodeProgress(); err != nil {
		t.Errorf("got %v for the progress of a decoded job, want none", err)
	}
}

// FuzzDecodeJob checks that no records of a job make a node panic that reads them.
func FuzzDecodeJob(f *testing.F) {
	job := newTestJob(Step{Count: 2}, Step{Count: 1, After: []int{0}})
	job.Assign(taskID(0, 1), "h", 1, testTime)
	definition, err := job.EncodeDefinition()
	if err != nil {
		f.Fatal(err)
	}
	progressData, err := job.EncodeProgress()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(definition, progressData)
	f.Fuzz(func(t *testing.T, definition, progressData []byte) {
		if job, err := DecodeJob(definition, progressData); err == nil {
			useJob(t, job)
		}
	})
}

// TestDecodeJobRejectsInvalidRecords checks that the records of a job with an invalid
// plan or task are an error, and those of a job that was only cancelled are not.
func TestDecodeJobRejectsInvalidRecords(t *testing.T) {
	for steps, want := range map[string]string{
		`[]`:                                     "no steps",
		`[{"Count":-1}]`:                         "count",
		`[{"Count":1000000000000}]`:              "more than",
		`[{"Count":4096},{"Count":1}]`:           "more than",
		`[{"Count":1,"After":[0]}]`:              "depends",
		`[{"Count":1},{"Count":1,"After":[7]}]`:  "depends",
		`[{"Count":1},{"Count":1,"After":[-1]}]`: "depends",
		`[{"Count":9223372036854775807},{"Count":9223372036854775807}]`: "more than",
	} {
		job, err := DecodeJob([]byte(`{"Plan":{"Steps":`+steps+`}}`), []byte(`{"Rounds":[0]}`))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, error %v for steps %s, want an error with %q", job, err, steps, want)
		}
	}
	for _, task := range []string{`{"S":-1}`, `{"I":-1}`, `{"S":1}`, `{"I":1}`, `{"K":1}`} {
		job, err := DecodeJob([]byte(`{"Plan":{"Steps":[{"Count":1}]}}`), []byte(`{"Rounds":[0],"Tasks":[`+task+`]}`))
		if err == nil || !strings.Contains(err.Error(), "unknown task") {
			t.Errorf("got %v, error %v for task %s, want an error", job, err, task)
		}
	}
	if _, err := DecodeJob([]byte(`{"Unasked":true,"Plan":{"Spec":""}}`), nil); err != nil {
		t.Errorf("got %v for a job without steps, want none", err)
	}
}
