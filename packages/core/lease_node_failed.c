#include "core/lease_node_state.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"

Bergamot__FailedRun **lease_node_pack_failed(TALLOC_CTX *mem,
					     const struct failed_runs *runs)
{
	Bergamot__FailedRun **rows =
		talloc_array(mem, Bergamot__FailedRun *, runs->count);

	for (uint32_t i = 0; i < runs->count; i++) {
		rows[i] = talloc(mem, Bergamot__FailedRun);
		bergamot__failed_run__init(rows[i]);
		rows[i]->step = runs->rows[i].step;
		rows[i]->index = runs->rows[i].index;
		rows[i]->run = runs->rows[i].number;
	}
	return rows;
}

void lease_node_unpack_failed(TALLOC_CTX *mem, struct failed_runs *runs,
			      uint64_t attempt,
			      Bergamot__FailedRun *const *rows, size_t count)
{
	if (count > FAILED_RUNS_MAX)
		count = FAILED_RUNS_MAX;
	runs->attempt = attempt;
	runs->count = (uint32_t)count;
	runs->rows = talloc_array(mem, struct failed_run, count);
	for (size_t i = 0; i < count; i++)
		runs->rows[i] = (struct failed_run){
			.step = rows[i]->step,
			.index = rows[i]->index,
			.number = rows[i]->run,
		};
}

/* Returns NULL, or why failed runs that a member tells must not be kept. */
static const char *find_fault(const struct lease_node_job *job, uint64_t from,
			      const struct lease_failures *failures)
{
	const struct step_job *steps = job->job;
	const char *fault = NULL;

	if (strcmp(job->id, failures->id) != 0)
		return "the job has another id";
	/* One that the job was taken back from may still tell of its runs. */
	if (from != job->sent_to && (job->sent_to || from != job->former))
		return "its sender does not have the job";
	if (!failures->runs.attempt)
		return "they are of no attempt";
	for (uint32_t i = 0; i < failures->runs.count && !fault; i++)
		fault = failed_run_find_fault(&failures->runs.rows[i],
					      steps->steps, steps->step_count);
	return fault;
}

/* Keeps failed runs with their job, for the next leader. */
static void note_failures(struct lease_node *lease_node, uint64_t from,
			  const struct lease_failures *failures)
{
	uint64_t request = failures->waiter.request;
	struct lease_node_job *job;
	const char *fault;

	HASH_FIND(hh, lease_node->jobs, &request, sizeof(request), job);
	if (!job)
		return;
	fault = find_fault(job, from, failures);
	if (fault) {
		log_warning(LOG_PEER,
			    "job %s: dropped failed runs that member "
			    "%016" PRIx64 " tells: %s",
			    job->id, from, fault);
		return;
	}
	if (job->failed.attempt != failures->runs.attempt)
		job->failed.count = 0;
	job->failed.attempt = failures->runs.attempt;
	for (uint32_t i = 0; i < failures->runs.count; i++)
		failed_runs_add(job, &job->failed, &failures->runs.rows[i]);
}

void lease_node_on_failed(void *ctx, const struct lease_failures *failures)
{
	struct lease_node *lease_node = ctx;
	Bergamot__QueueJobFailures msg = BERGAMOT__QUEUE_JOB_FAILURES__INIT;
	Bergamot__Peer peer = BERGAMOT__PEER__INIT;
	TALLOC_CTX *mem;

	if (failures->waiter.entry == lease_node->options.incarnation) {
		note_failures(lease_node, failures->waiter.entry, failures);
		return;
	}
	mem = talloc_new(lease_node);
	msg.request = failures->waiter.request;
	msg.id = (char *)failures->id;
	msg.attempt = failures->runs.attempt;
	msg.failed = lease_node_pack_failed(mem, &failures->runs);
	msg.n_failed = failures->runs.count;
	peer.body_case = BERGAMOT__PEER__BODY_QUEUE_JOB_FAILURES;
	peer.queue_job_failures = &msg;
	lease_node->ports->send(lease_node->ports->ctx, failures->waiter.entry,
				&peer);
	talloc_free(mem);
}

void lease_node_on_failures(struct lease_node *lease_node, uint64_t from,
			    const Bergamot__QueueJobFailures *msg)
{
	TALLOC_CTX *mem = talloc_new(lease_node);
	struct lease_failures failures = {
		.waiter = { lease_node->options.incarnation, msg->request },
		.id = msg->id,
	};

	lease_node_unpack_failed(mem, &failures.runs, msg->attempt, msg->failed,
				 msg->n_failed);
	note_failures(lease_node, from, &failures);
	talloc_free(mem);
}
