#!/bin/sh
# Draw docs/measured.svg from the rows of `model mix`: three measures of two
# deployments, with one bar per policy.
#	load/plot.sh BARSHA-ROWS MIDLANDS-ROWS >docs/measured.svg
set -eu
awk '
function field(name,   i) {
	for (i = 1; i < NF; i++)
		if ($i == name)
			return $(i + 1)
}
function p99(pair,   p) {
	split(pair, p, "/")
	return p[2]
}
function bar(col, row, share, label, color,   x, y) {
	x = 150 + col * 300
	y = 60 + row * 22 + (FNR == NR ? 0 : 110)
	printf "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"16\" fill=\"%s\"/>", x, y, share * 200, color
	printf "<text x=\"%.1f\" y=\"%d\">%s</text>\n", x + share * 200 + 4, y + 12, label
}
BEGIN {
	print "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"1060\" height=\"270\" font-family=\"monospace\" font-size=\"11\">"
	print "<text x=\"150\" y=\"40\">fragmentation</text><text x=\"450\" y=\"40\">gang wait p99, s</text><text x=\"750\" y=\"40\">urgent wait p99, s</text>"
	print "<text x=\"10\" y=\"52\">Barsha</text><text x=\"10\" y=\"162\">Midlands</text>"
	split("#4477aa #bbbbbb #dddddd", colors, " ")
}
{
	row = FNR - 1
	printf "<text x=\"20\" y=\"%d\">%s</text>\n", 72 + row * 22 + (FNR == NR ? 0 : 110), $1
	f = field("fragmentation")
	g = p99(field("gang_wait_s"))
	u = p99(field("urgent_wait_s"))
	bar(0, row, f, f, colors[FNR])
	bar(1, row, g / 36000, int(g), colors[FNR])
	bar(2, row, u / 20, u, colors[FNR])
}
END { print "</svg>" }
' "$1" "$2"
