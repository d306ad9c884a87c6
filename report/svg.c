/*
 * Draws lost time over the time line: a stacked bar for each window, a colour
 * for each cause, and below it a row of marks for each kind of event.
 */
#include <errno.h>
#include <string.h>

#include "report/window.h"

#define MARGIN_PX 60
#define BAR_WIDTH_PX 14
#define CHART_HEIGHT_PX 240
#define ROW_HEIGHT_PX 16
#define LEGEND_WIDTH_PX 150

/*
 * Colours that differ for the colour-blind (Okabe and Ito), at two levels of
 * brightness that differ in print.
 */
static const char *const colours[CAUSES_COUNT] = {
	[CAUSE_SUBMITTING] = "#999999",	  [CAUSE_UNKNOWN] = "#cccccc",
	[CAUSE_RESOURCES] = "#0072b2",	  [CAUSE_STOPS] = "#56b4e9",
	[CAUSE_ORDER] = "#f0e442",	  [CAUSE_RUNNING] = "#ffffff",
	[CAUSE_RUNNING_SLOW] = "#c9b400", [CAUSE_FAILED] = "#d55e00",
	[CAUSE_BROKEN] = "#e69f00",	  [CAUSE_STOPPED] = "#cc79a7",
	[CAUSE_LAPSED] = "#7a3b00",	  [CAUSE_LOST] = "#8c3a68",
	[CAUSE_NOT_STARTED] = "#f5c6a5",  [CAUSE_NOT_RECORDED] = "#009e73",
	[CAUSE_STORE_AWAY] = "#000000",	  [CAUSE_NO_LEADER] = "#555555"};

/* Return the largest lost time of a window, at least 1 ms. */
static int64_t largest_loss_ms(const GArray *windows)
{
	int64_t max = 1;

	for (guint i = 0; i < windows->len; i++)
		max = MAX(max,
			  g_array_index(windows, struct window, i).lost_ms);
	return max;
}

static void draw_bar(FILE *f, const struct window *w, guint i, int64_t max_ms)
{
	double y = MARGIN_PX + CHART_HEIGHT_PX;

	for (int c = 0; c < CAUSES_COUNT; c++) {
		double height =
			(double)w->by_cause_ms[c] / max_ms * CHART_HEIGHT_PX;

		if (!w->by_cause_ms[c] || c == CAUSE_RUNNING)
			continue;
		y -= height;
		fprintf(f,
			"<rect x=\"%u\" y=\"%.1f\" width=\"%d\" "
			"height=\"%.1f\" fill=\"%s\" stroke=\"#000\" "
			"stroke-width=\"0.3\"><title>%s: %.1f s</title>"
			"</rect>\n",
			MARGIN_PX + i * BAR_WIDTH_PX, y, BAR_WIDTH_PX - 2,
			height, colours[c], cause_name(c),
			w->by_cause_ms[c] / 1000.0);
	}
}

/* Draw a row of marks for each kind of event. */
static void draw_events(FILE *f, const GArray *windows)
{
	int y = MARGIN_PX + CHART_HEIGHT_PX + 2 * ROW_HEIGHT_PX;

	for (int k = 0; k < EVENT_KINDS_COUNT; k++) {
		bool any = false;

		for (guint i = 0; event_is_notable(k) && i < windows->len;
		     i++) {
			uint32_t n = g_array_index(windows, struct window, i)
					     .events[k];

			if (!n)
				continue;
			any = true;
			fprintf(f,
				"<text x=\"%u\" y=\"%d\" font-size=\"9\">"
				"%u</text>\n",
				MARGIN_PX + i * BAR_WIDTH_PX, y, n);
		}
		if (!any)
			continue;
		fprintf(f,
			"<text x=\"%u\" y=\"%d\" font-size=\"11\">%s</text>\n",
			MARGIN_PX + windows->len * BAR_WIDTH_PX + 8, y,
			event_kind_name(k));
		y += ROW_HEIGHT_PX;
	}
}

static void draw_legend(FILE *f, const GArray *windows)
{
	unsigned int x = MARGIN_PX + windows->len * BAR_WIDTH_PX + 8;
	int y = MARGIN_PX;

	for (int c = 0; c < CAUSES_COUNT; c++) {
		if (c == CAUSE_RUNNING)
			continue;
		fprintf(f,
			"<rect x=\"%u\" y=\"%d\" width=\"10\" height=\"10\" "
			"fill=\"%s\" stroke=\"#000\" stroke-width=\"0.3\"/>"
			"<text x=\"%u\" y=\"%d\" font-size=\"11\">%s</text>\n",
			x, y, colours[c], x + 14, y + 9, cause_name(c));
		y += ROW_HEIGHT_PX;
	}
}

static void draw_axes(FILE *f, const GArray *windows, int64_t max_ms)
{
	int base = MARGIN_PX + CHART_HEIGHT_PX;

	fprintf(f,
		"<text x=\"4\" y=\"%d\" font-size=\"11\">%.0f s lost</text>\n"
		"<text x=\"4\" y=\"%d\" font-size=\"11\">0</text>\n"
		"<line x1=\"%d\" y1=\"%d\" x2=\"%u\" y2=\"%d\" "
		"stroke=\"#000\"/>\n",
		MARGIN_PX, max_ms / 1000.0, base, MARGIN_PX, base,
		MARGIN_PX + windows->len * BAR_WIDTH_PX, base);
	for (guint i = 0; i < windows->len; i += 5)
		fprintf(f,
			"<text x=\"%u\" y=\"%d\" font-size=\"9\">%u s"
			"</text>\n",
			MARGIN_PX + i * BAR_WIDTH_PX, base + ROW_HEIGHT_PX - 4,
			i * WINDOW_MS / 1000);
}

/* Write the picture to a file; returns false with errno set if that fails. */
bool report_write_svg(const struct report *r, const char *file)
{
	GArray *windows = windows_create(r);
	FILE *f = fopen(file, "w");
	int64_t max_ms = largest_loss_ms(windows);
	int height = MARGIN_PX + CHART_HEIGHT_PX +
		     (EVENT_KINDS_COUNT + 2) * ROW_HEIGHT_PX;
	bool written = false;

	if (!f)
		goto out;
	fprintf(f,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%u\" "
		"height=\"%d\" font-family=\"sans-serif\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"#fff\"/>\n"
		"<text x=\"4\" y=\"20\" font-size=\"14\">Time lost by jobs not "
		"served in time, by cause, in windows of %d s</text>\n",
		2 * MARGIN_PX + windows->len * BAR_WIDTH_PX + LEGEND_WIDTH_PX,
		height, WINDOW_MS / 1000);
	draw_axes(f, windows, max_ms);
	for (guint i = 0; i < windows->len; i++)
		draw_bar(f, &g_array_index(windows, struct window, i), i,
			 max_ms);
	draw_legend(f, windows);
	draw_events(f, windows);
	fputs("</svg>\n", f);
	written = !ferror(f);
	written = !fclose(f) && written;
out:
	g_array_unref(windows);
	return written;
}
