#include "fleet/peer-news.h"

/*
 * Handles a node's report that it knows the topic's changes up to a revision,
 * while this node knows them up to `known`. A report of an earlier revision
 * says nothing about the later one that another node has reported.
 */
void peer_news_on_report(struct peer_news *n, uint64_t now, uint64_t reported,
			 uint64_t known)
{
	if (reported > n->reported_revision)
		n->reported_revision = reported;
	if (n->missing_revision && n->missing_revision > known)
		return;
	/* While changes keep coming, each is waited for anew. */
	n->missing_revision =
		n->reported_revision > known ? n->reported_revision : 0;
	n->missing_since = now;
}

/* Returns whether this node lacks a change that it has heard of. */
bool peer_news_is_missing(const struct peer_news *n, uint64_t known)
{
	return n->missing_revision > known;
}

/*
 * Returns for how many ms this node has lacked a change that it has heard of,
 * 0 if it knows changes up to that one by now.
 */
uint64_t peer_news_missing_ms(const struct peer_news *n, uint64_t now,
			      uint64_t known)
{
	return peer_news_is_missing(n, known) ? now - n->missing_since : 0;
}
