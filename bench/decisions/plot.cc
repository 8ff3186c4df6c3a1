#include <array>
#include <boost/geometry.hpp>
#include <boost/geometry/geometries/geometries.hpp>
#include <boost/geometry/geometries/point_xy.hpp>
#include <boost/geometry/io/svg/svg_mapper.hpp>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "report.h"

namespace toucanwharf::bench {
namespace {

using Point = boost::geometry::model::d2::point_xy<double>;
using Line = boost::geometry::model::linestring<Point>;
using Mapper = boost::geometry::svg_mapper<Point>;

constexpr int kWidth = 760;
constexpr int kHeight = 460;
constexpr double kMaxLoad = 3.0;
constexpr double kMaxGoodput = 1.4;
constexpr std::array<const char*, 6> kColors{"#0b5fa5", "#7fb2dd", "#c23b22",
                                             "#e39b1d", "#5a8f3c", "#7a4fa3"};

void DrawLine(Mapper& mapper, const Line& line, const std::string& style) {
  mapper.map(line, "fill:none;" + style);
}

void DrawAxes(Mapper& mapper) {
  constexpr const char* kAxis = "stroke:#333;stroke-width:1";
  constexpr const char* kGrid = "stroke:#ddd;stroke-width:1";
  constexpr const char* kText = "font-family:sans-serif;font-size:12px";
  for (const double load : {0.5, 1.0, 1.5, 2.0, 2.5, 3.0}) {
    DrawLine(mapper, Line{{load, 0}, {load, kMaxGoodput}}, kGrid);
    mapper.text(Point(load, -0.06), std::to_string(load).substr(0, 3), kText);
  }
  for (const double goodput : {0.25, 0.5, 0.75, 1.0, 1.25}) {
    DrawLine(mapper, Line{{0, goodput}, {kMaxLoad, goodput}}, kGrid);
    mapper.text(Point(-0.17, goodput), std::to_string(goodput).substr(0, 4),
                kText);
  }
  DrawLine(mapper, Line{{0, 0}, {kMaxLoad, 0}}, kAxis);
  DrawLine(mapper, Line{{0, 0}, {0, kMaxGoodput}}, kAxis);
  mapper.text(Point(1.1, -0.13), "offered load, of the bound", kText);
  mapper.text(Point(0.02, kMaxGoodput - 0.04),
              "tokens of whole, timely answers, of the bound", kText);
}

}  // namespace

bool PlotGoodput(const std::vector<Row>& rows, std::uint32_t routers,
                 const std::string& path) {
  std::ofstream file(path);
  if (!file) return false;
  std::map<std::string, Line> lines;
  std::vector<std::string> order;
  for (const Row& row : rows) {
    if (row.routers != routers || row.experiment != "sweep") continue;
    Line& line = lines[row.policy];
    if (line.empty()) order.push_back(row.policy);
    line.push_back(Point(row.offered, row.tokens_of_bound));
  }
  Mapper mapper(file, kWidth, kHeight);
  mapper.add(Point(-0.3, -0.18));
  mapper.add(Point(kMaxLoad + 0.05, kMaxGoodput + 0.02));
  DrawAxes(mapper);
  for (std::size_t index = 0; index < order.size(); ++index) {
    const std::string color = kColors[index % kColors.size()];
    const std::string width = index == 0 ? "3" : "1.5";
    DrawLine(mapper, lines[order[index]],
             "stroke:" + color + ";stroke-width:" + width);
    mapper.text(Point(2.1, 0.55 - 0.07 * static_cast<double>(index)),
                order[index],
                "font-family:sans-serif;font-size:13px;fill:" + color);
  }
  return true;
}

}  // namespace toucanwharf::bench
